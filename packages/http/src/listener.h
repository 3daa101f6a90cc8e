#pragma once

#include <cstdint>
#include <string>

namespace tamarackspan::http::impl {

/// A listening TCP socket, or the reason why there is none.
struct Listener
{
    int fd = -1;
    std::uint16_t port = 0;
    std::string error;
};

/// Listens on an IP address; port 0 takes any free one.
[[nodiscard]] auto listenOn(const std::string &ip, std::uint16_t port) -> Listener;

/// Makes the system ignore new connection attempts to a listening socket, while handshakes in progress still complete and can be accepted. A caller's system
/// repeats an ignored attempt after about a second, and is refused then if the socket has been closed.
auto ignoreNewConnections(int fd) -> void;

} // namespace tamarackspan::http::impl
