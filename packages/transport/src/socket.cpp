#include "tamarackspan/transport/socket.h"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarackspan::transport {

namespace {

constexpr auto listenBacklog = 1024;

struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

auto toSocketAddress(const Endpoint &endpoint) -> SocketAddress
{
    auto address = SocketAddress();
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    address.size = sizeof(sockaddr_in6);
    return address;
}

auto failure(std::string_view what, const Endpoint &endpoint) -> absl::Status
{
    return absl::UnavailableError(absl::StrCat(std::string(what), " ", toString(endpoint), ": ", std::strerror(errno)));
}

auto closeAndFail(int fd, std::string_view what, const Endpoint &endpoint) -> absl::Status
{
    auto status = failure(what, endpoint);
    close(fd);
    return status;
}

} // namespace

auto listenOn(const Endpoint &endpoint) -> absl::StatusOr<int>
{
    const auto address = toSocketAddress(endpoint);
    const auto fd = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return failure("can't open a socket for", endpoint);
    }
    const auto on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address.storage), address.size) != 0) {
        return closeAndFail(fd, "can't bind to", endpoint);
    }
    if (listen(fd, listenBacklog) != 0) {
        return closeAndFail(fd, "can't listen on", endpoint);
    }
    return fd;
}

auto startConnect(const Endpoint &endpoint) -> absl::StatusOr<int>
{
    const auto address = toSocketAddress(endpoint);
    const auto fd = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return failure("can't open a socket for", endpoint);
    }
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address.storage), address.size) != 0 && errno != EINPROGRESS) {
        return closeAndFail(fd, "can't connect to", endpoint);
    }
    return fd;
}

auto boundPort(int fd) -> std::uint16_t
{
    auto address = sockaddr_storage{};
    auto size = static_cast<socklen_t>(sizeof(address));
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

auto tuneConnection(int fd, absl::Duration unacknowledgedTimeout) -> void
{
    const auto on = 1;
    const auto millis = static_cast<unsigned int>(absl::ToInt64Milliseconds(unacknowledgedTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

} // namespace tamarackspan::transport
