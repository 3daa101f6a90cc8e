#include "raw_server.h"

#include "raw_socket.h"

#include "tamarackspan/base/require.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::http::test {

namespace {

constexpr auto listenBacklog = 64;

} // namespace

auto okReply(const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

RawServer::RawServer(Script script, absl::Duration closeDelay)
    : script(std::move(script)),
      closeDelay(closeDelay),
      listenFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto listening =
        bind(this->listenFd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && listen(this->listenFd, listenBacklog) == 0;
    base::require(listening, "a test server gets a port");
    auto size = socklen_t{sizeof(address)};
    getsockname(this->listenFd, reinterpret_cast<sockaddr *>(&address), &size);
    this->boundPort = ntohs(address.sin_port);
    this->acceptor = std::thread([this] {
        this->acceptAll();
    });
}

RawServer::~RawServer()
{
    shutdown(this->listenFd, SHUT_RDWR);
    this->acceptor.join();
    close(this->listenFd);
    for (const auto fd : this->fds) {
        shutdown(fd, SHUT_RDWR);
    }
    for (auto &thread : this->threads) {
        thread.join();
    }
    for (const auto fd : this->fds) {
        close(fd);
    }
}

auto RawServer::acceptAll() -> void
{
    for (;;) {
        const auto fd = accept4(this->listenFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const auto number = this->connections++;
        this->most = std::max(this->most.load(), ++this->open);
        this->fds.push_back(fd);
        this->threads.emplace_back([this, fd, number] {
            this->serve(fd, number);
            // The descriptor is closed only at the end of the test, so that its number isn't reused for another connection.
            absl::SleepFor(this->closeDelay);
            --this->open;
            shutdown(fd, SHUT_RDWR);
        });
    }
}

auto RawServer::serve(int fd, int connection) -> void
{
    for (auto number = 0;; ++number) {
        auto request = SeenRequest{.connection = connection, .numberOnConnection = number, .text = readMessage(fd)};
        if (request.text.empty()) {
            return;
        }
        {
            const auto lock = std::lock_guard(this->mutex);
            this->requests.push_back(request);
        }
        const auto action = this->script(request);
        absl::SleepFor(action.delay);
        sendAll(fd, action.reply);
        if (action.close) {
            return;
        }
    }
}

auto RawServer::port() const -> std::uint16_t
{
    return this->boundPort;
}

auto RawServer::seen() -> std::vector<SeenRequest>
{
    const auto lock = std::lock_guard(this->mutex);
    return this->requests;
}

auto RawServer::accepted() const -> int
{
    return this->connections;
}

auto RawServer::maxOpen() const -> int
{
    return this->most;
}

} // namespace tamarackspan::http::test
