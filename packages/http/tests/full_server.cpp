#include "full_server.h"

#include "tamarackspan/base/require.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace tamarackspan::http::test {

namespace {

/// More connections than a listen queue of length 0 accepts.
constexpr auto connectionsToFill = 4;

} // namespace

FullServer::FullServer()
    : listenFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto listening = bind(this->listenFd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && listen(this->listenFd, 0) == 0;
    base::require(listening, "a test server gets a port");
    auto size = socklen_t{sizeof(address)};
    getsockname(this->listenFd, reinterpret_cast<sockaddr *>(&address), &size);
    this->boundPort = ntohs(address.sin_port);
    for (auto i = 0; i < connectionsToFill; ++i) {
        this->waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        std::ignore = connect(this->waiting.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
}

FullServer::~FullServer()
{
    for (const auto fd : this->waiting) {
        close(fd);
    }
    close(this->listenFd);
}

auto FullServer::port() const -> std::uint16_t
{
    return this->boundPort;
}

} // namespace tamarackspan::http::test
