#include "tamarackspan/transport/frame_connection.h"

#include "tamarackspan/base/clock.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::transport {

namespace {

constexpr auto readChunkBytes = std::size_t{64} << 10U;
constexpr auto readChunksPerEvent = 16;

auto wouldBlock() -> bool
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

FrameConnection::FrameConnection(EventLoop &loop, int fd, std::string firstBytes)
    : loop(loop),
      fd(fd),
      lastReceived(base::monotonicNow())
{
    this->reader.append(firstBytes);
}

FrameConnection::~FrameConnection()
{
    this->close();
}

auto FrameConnection::start(Handlers newHandlers) -> void
{
    this->handlers = std::move(newHandlers);
    const auto weak = this->weak_from_this();
    this->loop.watch(this->fd, EPOLLIN | EPOLLOUT, [weak](std::uint32_t events) {
        if (const auto self = weak.lock()) {
            self->onReady(events);
        }
    });
    const auto self = this->shared_from_this();
    this->deliver();
}

auto FrameConnection::send(std::string_view frame) -> bool
{
    if (!this->isOpen() || this->unsent.size() - this->unsentOffset + frame.size() > maxUnsentBytes) {
        return false;
    }
    this->unsent.append(frame);
    if (!this->waitingToWrite) {
        this->flush();
    }
    return this->isOpen();
}

auto FrameConnection::lastReceivedAt() const noexcept -> absl::Time
{
    return this->lastReceived;
}

auto FrameConnection::isOpen() const noexcept -> bool
{
    return this->fd >= 0;
}

auto FrameConnection::close() -> void
{
    if (this->isOpen()) {
        this->loop.unwatch(this->fd);
        ::close(std::exchange(this->fd, -1));
    }
}

auto FrameConnection::detach() -> Detached
{
    this->loop.unwatch(this->fd);
    return Detached{std::exchange(this->fd, -1), this->reader.takeRest()};
}

auto FrameConnection::onReady(std::uint32_t events) -> void
{
    const auto self = this->shared_from_this();
    if ((events & EPOLLOUT) != 0 && this->isOpen()) {
        this->flush();
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && this->isOpen()) {
        this->readSome();
    }
}

auto FrameConnection::readSome() -> void
{
    static thread_local auto chunk = std::array<char, readChunkBytes>{};
    for (auto i = 0; i < readChunksPerEvent && this->isOpen(); ++i) {
        const auto got = recv(this->fd, chunk.data(), chunk.size(), 0);
        if (got < 0 && wouldBlock()) {
            return;
        }
        if (got <= 0) {
            this->fail(got == 0 ? "closed by the peer" : "connection failed");
            return;
        }
        this->lastReceived = base::monotonicNow();
        this->reader.append(std::span(chunk.data(), static_cast<std::size_t>(got)));
        this->deliver();
        if (static_cast<std::size_t>(got) < chunk.size()) {
            return;
        }
    }
}

auto FrameConnection::deliver() -> void
{
    while (this->isOpen()) {
        const auto frame = this->reader.next();
        if (!frame) {
            break;
        }
        auto message = wire::decode(*frame);
        if (!message.ok()) {
            this->fail(message.status().ToString());
            return;
        }
        this->handlers.onMessage(*std::move(message));
    }
    if (this->isOpen() && this->reader.error()) {
        this->fail(wire::toString(*this->reader.error()));
    }
}

auto FrameConnection::flush() -> void
{
    while (this->unsentOffset < this->unsent.size()) {
        const auto sent = ::send(this->fd, this->unsent.data() + this->unsentOffset, this->unsent.size() - this->unsentOffset, MSG_NOSIGNAL);
        if (sent < 0 && (wouldBlock() || errno == ENOTCONN)) {
            if (!this->waitingToWrite) {
                this->waitingToWrite = true;
                this->loop.change(this->fd, EPOLLIN | EPOLLOUT);
            }
            return;
        }
        if (sent < 0) {
            this->fail("connection failed");
            return;
        }
        this->unsentOffset += static_cast<std::size_t>(sent);
    }
    this->unsent.clear();
    this->unsentOffset = 0;
    if (this->waitingToWrite) {
        this->waitingToWrite = false;
        this->loop.change(this->fd, EPOLLIN);
    }
}

auto FrameConnection::fail(std::string_view reason) -> void
{
    this->close();
    // Called from the loop, since fail() may run within a call of the user.
    const auto self = this->shared_from_this();
    this->loop.post([self, text = std::string(reason)] {
        if (self->handlers.onClosed) {
            const auto onClosed = std::exchange(self->handlers.onClosed, nullptr);
            onClosed(text);
        }
    });
}

} // namespace tamarackspan::transport
