#include "listener.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarackspan::http::impl {

namespace {

constexpr auto backlog = 1024;
/// Offset of the flags in a TCP header, and the two flags that identify the first segment of a handshake (SYN without ACK).
constexpr auto tcpFlagsOffset = 13U;
constexpr auto tcpSyn = 0x02U;
constexpr auto tcpAck = 0x10U;

struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

auto parseAddress(const std::string &ip, std::uint16_t port, SocketAddress &address) -> bool
{
    auto v4 = sockaddr_in{};
    if (inet_pton(AF_INET, ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(port);
        std::memcpy(&address.storage, &v4, sizeof(v4));
        address.size = sizeof(v4);
        return true;
    }
    auto v6 = sockaddr_in6{};
    if (inet_pton(AF_INET6, ip.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(port);
        std::memcpy(&address.storage, &v6, sizeof(v6));
        address.size = sizeof(v6);
        return true;
    }
    return false;
}

auto boundPort(int fd) -> std::uint16_t
{
    auto storage = sockaddr_storage{};
    auto size = socklen_t{sizeof(storage)};
    getsockname(fd, reinterpret_cast<sockaddr *>(&storage), &size);
    auto v4 = sockaddr_in{};
    // The port is at the same offset in both address families.
    std::memcpy(&v4, &storage, sizeof(v4));
    return ntohs(v4.sin_port);
}

} // namespace

auto listenOn(const std::string &ip, std::uint16_t port) -> Listener
{
    auto listener = Listener();
    auto address = SocketAddress();
    if (!parseAddress(ip, port, address)) {
        listener.error = "expected an IP address to listen on, found \"" + ip + "\"";
        return listener;
    }
    const auto fd = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&address.storage), address.size) != 0 || listen(fd, backlog) != 0) {
        listener.error = "can't listen on " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno);
        close(fd);
        return listener;
    }
    listener.fd = fd;
    listener.port = boundPort(fd);
    return listener;
}

auto ignoreNewConnections(int fd) -> void
{
    // The socket filter of a TCP socket sees each segment starting at its TCP header.
    auto code = std::array<sock_filter, 5>{
        sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcpFlagsOffset),
        sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, tcpSyn | tcpAck),
        sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, tcpSyn, 0, 1),
        sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
        sock_filter BPF_STMT(BPF_RET | BPF_K, 0xFFFFFFFFU),
    };
    const auto program = sock_fprog{.len = code.size(), .filter = code.data()};
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

} // namespace tamarackspan::http::impl
