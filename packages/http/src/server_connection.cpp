#include "server_connection.h"

#include <utility>

namespace tamarackspan::http::impl {

ServerConnection::ServerConnection(std::uint64_t id, int fd, absl::Time now) noexcept
    : id(id),
      fd(fd),
      sinceNanos(absl::ToUnixNanos(now))
{
}

auto ServerConnection::enter(ConnectionPhase next, absl::Time now) noexcept -> void
{
    this->sinceNanos = absl::ToUnixNanos(now);
    this->phase = next;
}

auto ServerConnection::since() const noexcept -> absl::Time
{
    return absl::FromUnixNanos(this->sinceNanos);
}

auto ConnectionTable::add(int fd, absl::Time now) -> ServerConnection *
{
    const auto lock = std::lock_guard(this->mutex);
    const auto id = ++this->lastId;
    auto &slot = this->connections[id];
    slot = std::make_unique<ServerConnection>(id, fd, now);
    return slot.get();
}

auto ConnectionTable::remove(ServerConnection *connection) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->connections.erase(connection->id);
}

auto ConnectionTable::forEach(const std::function<void(ServerConnection &)> &function) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    for (auto &[id, connection] : this->connections) {
        function(*connection);
    }
}

auto ConnectionTable::noteCallerDisconnected(std::uint64_t id) -> std::shared_ptr<Exchange>
{
    const auto lock = std::lock_guard(this->mutex);
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return nullptr;
    }
    const auto connectionLock = std::lock_guard(found->second->mutex);
    found->second->callerDisconnected = true;
    return found->second->exchange;
}

auto ConnectionTable::waitingExchanges() -> std::vector<std::shared_ptr<Exchange>>
{
    auto waiting = std::vector<std::shared_ptr<Exchange>>();
    this->forEach([&waiting](ServerConnection &connection) {
        const auto lock = std::lock_guard(connection.mutex);
        if (connection.exchange != nullptr) {
            waiting.push_back(connection.exchange);
        }
    });
    return waiting;
}

} // namespace tamarackspan::http::impl
