#pragma once

#include "execution_fleet.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarackspan::execution_test {

/// Callers on connections that are kept alive, which ask every 100 ms which hosts are ready and send to these only. Their calls are kept in the fleet's
/// history.
class ReadyCallers
{
public:
    /// Starts the callers; each sends a query and an execute in turn with a short pause after each. The fleet must not be moved and outlive this.
    ReadyCallers(ExecutionFleet &fleet, std::size_t callers, std::uint64_t seed);
    ~ReadyCallers();
    ReadyCallers(const ReadyCallers &) = delete;
    auto operator=(const ReadyCallers &) -> ReadyCallers & = delete;

    /// Lets each caller end its request and waits for them.
    auto stop() -> void;

private:
    auto watch() -> void;
    auto call(std::size_t caller, std::uint64_t seed) -> void;
    [[nodiscard]] auto readyAddresses() const -> std::vector<std::string>;

    ExecutionFleet &fleet;
    /// The caller and the admin address of each host.
    std::vector<testkit::HostAddresses> hosts;
    mutable std::mutex mutex;
    std::vector<std::string> ready;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
};

} // namespace tamarackspan::execution_test
