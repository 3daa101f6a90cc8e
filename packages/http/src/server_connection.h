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

/// The phase of a server's connection within the cycle of request and response.
enum class ConnectionPhase {
    /// No request line has been received since the last response.
    Idle,
    /// A request is being received.
    Receiving,
    /// The handler has the request and hasn't responded yet.
    Waiting,
    /// The response is being sent.
    Replying,
};

/// The state of one server connection. Phases change on libmicrohttpd's thread and are read by others.
struct ServerConnection
{
    explicit ServerConnection(std::uint64_t id, int fd, absl::Time now) noexcept;

    auto enter(ConnectionPhase next, absl::Time now) noexcept -> void;
    [[nodiscard]] auto since() const noexcept -> absl::Time;

    const std::uint64_t id;
    const int fd;
    std::atomic<ConnectionPhase> phase = ConnectionPhase::Idle;
    std::atomic<std::int64_t> sinceNanos;
    /// False until the first request line has been received.
    std::atomic<bool> used = false;

    std::mutex mutex;
    /// The exchange that has no response yet. Guarded by the mutex.
    std::shared_ptr<Exchange> exchange;
    /// The caller has closed its side. Guarded by the mutex.
    bool callerDisconnected = false;
};

/// The open connections of a server. Thread-safe; a connection's descriptor stays open while it is in the table.
class ConnectionTable
{
public:
    auto add(int fd, absl::Time now) -> ServerConnection *;
    auto remove(ServerConnection *connection) -> void;

    /// Calls the function with each connection, under the table's lock.
    auto forEach(const std::function<void(ServerConnection &)> &function) -> void;

    /// Records that a caller has closed its side. Returns the exchange of its pending request, if any.
    auto noteCallerDisconnected(std::uint64_t id) -> std::shared_ptr<Exchange>;

    /// Returns the exchanges that have no response yet.
    auto waitingExchanges() -> std::vector<std::shared_ptr<Exchange>>;

private:
    std::mutex mutex;
    std::uint64_t lastId = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
};

} // namespace tamarackspan::http::impl
