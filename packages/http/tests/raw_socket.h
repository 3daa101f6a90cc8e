#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::http::test {

/// Opens a blocking connection to a loopback port; returns -1 if it is refused. With `receiveBuffer` the system's buffer for received bytes has about that
/// size, or the least that the system allows.
auto connectTo(std::uint16_t port, int receiveBuffer = 0) -> int;

/// Sends all bytes, or as many as possible before the connection fails.
auto sendAll(int fd, std::string_view bytes) -> void;

/// Reads one HTTP message that has a Content-Length or no body; returns an empty string if the connection ends first.
auto readMessage(int fd) -> std::string;

/// Reads until the peer closes its side.
auto readToEnd(int fd) -> std::string;

} // namespace tamarackspan::http::test
