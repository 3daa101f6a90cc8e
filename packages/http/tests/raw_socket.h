#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::http::test {

/// Makes a blocking connection to a port of this machine; -1 if it is refused.
auto connectTo(std::uint16_t port) -> int;

/// Sends all bytes, as far as the other side takes them.
auto sendAll(int fd, std::string_view bytes) -> void;

/// Reads one HTTP message with a Content-Length or without a body; empty if the connection ended before.
auto readMessage(int fd) -> std::string;

/// Reads until the other side closes.
auto readToEnd(int fd) -> std::string;

} // namespace tamarackspan::http::test
