#pragma once

#include "exchange.h"

#include "tamarackspan/http/server_request.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarackspan::http::impl {

/// Where a connection of a server is between requests.
enum class ConnectionPhase {
    /// No request line has come since the last response.
    Idle,
    /// A request is coming in.
    Receiving,
    /// The handler has the request.
    Waiting,
    /// The response is being sent.
    Replying,
};

/// What a server knows of one connection. Phases change on libmicrohttpd's thread and are read from others.
struct ServerConnection
{
    explicit ServerConnection(std::uint64_t id, int fd, absl::Time now) noexcept;

    auto enter(ConnectionPhase next, absl::Time now) noexcept -> void;
    [[nodiscard]] auto since() const noexcept -> absl::Time;

    const std::uint64_t id;
    const int fd;
    std::atomic<ConnectionPhase> phase = ConnectionPhase::Idle;
    std::atomic<std::int64_t> sinceNanos;
    /// False until the first request line has come.
    std::atomic<bool> used = false;

    std::mutex mutex;
    /// The exchange that waits for its response. Guarded by the mutex.
    std::shared_ptr<Exchange> exchange;
    /// The caller has closed its side. Guarded by the mutex.
    bool left = false;
};

/// The open connections of a server. Thread-safe; a connection's descriptor stays open while it is in the table.
class ConnectionTable
{
public:
    auto add(int fd, absl::Time now) -> ServerConnection *;
    auto remove(ServerConnection *connection) -> void;

    /// Calls the function with each connection, under the table's lock.
    auto forEach(const std::function<void(ServerConnection &)> &function) -> void;

    /// Notes that a caller has closed its side, and returns the exchange that it left, if any.
    auto noteLeft(std::uint64_t id) -> std::shared_ptr<Exchange>;

    /// Returns the exchanges that wait for a response.
    auto waitingExchanges() -> std::vector<std::shared_ptr<Exchange>>;

private:
    std::mutex mutex;
    std::uint64_t lastId = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
};

} // namespace tamarackspan::http::impl
