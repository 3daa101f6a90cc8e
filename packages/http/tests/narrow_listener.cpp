#include "narrow_listener.h"

#include "tamarackspan/transport/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarackspan::http::test {

namespace {

constexpr auto segmentBytes = 1448;
constexpr auto windowBytes = 4096;
constexpr auto acceptTimeoutMillis = 10'000;

} // namespace

NarrowListener::NarrowListener()
    : fd(*transport::listenOn({.ip = "127.0.0.1", .port = 0}))
{
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof(windowBytes));
}

NarrowListener::~NarrowListener()
{
    ::close(this->fd);
}

auto NarrowListener::port() const noexcept -> std::uint16_t
{
    return transport::boundPort(this->fd);
}

auto NarrowListener::accept() const -> int
{
    auto entry = pollfd{.fd = this->fd, .events = POLLIN, .revents = 0};
    return ::poll(&entry, 1, acceptTimeoutMillis) > 0 ? ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC) : -1;
}

auto resetConnection(int fd) -> void
{
    const auto atOnce = linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    ::close(fd);
}

} // namespace tamarackspan::http::test
