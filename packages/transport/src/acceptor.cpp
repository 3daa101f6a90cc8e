#include "tamarackspan/transport/acceptor.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/transport/socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::transport {

Acceptor::Acceptor(EventLoop &loop, int listenFd, absl::Duration helloTimeout, Handlers handlers)
    : loop(loop),
      listenFd(listenFd),
      helloTimeout(helloTimeout),
      handlers(std::move(handlers))
{
    this->loop.watch(this->listenFd, EPOLLIN, [this](std::uint32_t) {
        this->acceptAll();
    });
}

Acceptor::~Acceptor()
{
    this->loop.unwatch(this->listenFd);
    close(this->listenFd);
    for (const auto &pending : this->pendings) {
        this->loop.cancelTimer(pending->timer);
    }
}

auto Acceptor::port() const -> std::uint16_t
{
    return boundPort(this->listenFd);
}

auto Acceptor::acceptAll() -> void
{
    for (;;) {
        const auto fd = accept4(this->listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (this->pendings.size() >= maxPending) {
            close(fd);
            this->handlers.onRefused("too many connections awaiting Hello");
        } else {
            this->awaitHello(fd);
        }
    }
}

auto Acceptor::awaitHello(int fd) -> void
{
    const auto pending = std::make_shared<Pending>();
    pending->connection = std::make_shared<FrameConnection>(this->loop, fd, std::string());
    const auto deadline = base::monotonicNow() + this->helloTimeout;
    pending->timer = this->loop.runAt(deadline, [this, pending] {
        this->refuse(pending, "no Hello within the timeout");
    });
    this->pendings.insert(pending);
    const auto weak = std::weak_ptr<Pending>(pending);
    pending->connection->start({
        [this, weak](wire::MessageT message) {
            if (const auto locked = weak.lock()) {
                this->onFirstMessage(locked, std::move(message));
            }
        },
        [this, weak](std::string_view reason) {
            if (const auto locked = weak.lock()) {
                this->refuse(locked, reason);
            }
        },
    });
}

auto Acceptor::onFirstMessage(const std::shared_ptr<Pending> &pending, wire::MessageT message) -> void
{
    const auto *hello = message.body.AsHello();
    if (hello == nullptr) {
        this->refuse(pending, "first message is not a Hello");
        return;
    }
    this->loop.cancelTimer(pending->timer);
    this->pendings.erase(pending);
    this->handlers.onPeer(pending->connection->detach(), *hello);
}

auto Acceptor::refuse(const std::shared_ptr<Pending> &pending, std::string_view reason) -> void
{
    if (this->pendings.erase(pending) == 0) {
        return;
    }
    this->loop.cancelTimer(pending->timer);
    pending->connection->close();
    this->handlers.onRefused(reason);
}

} // namespace tamarackspan::transport
