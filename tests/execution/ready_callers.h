#pragma once

#include "execution_fleet.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarackspan::execution_test {

/// Callers on keep-alive connections that send only to hosts which report ready; readiness is polled every 100 ms. Their calls are added to the fleet's
/// history.
class ReadyCallers
{
public:
    /// Starts the callers. Each alternates between a query and an execute, with a short pause after each. The fleet must outlive this object and must not be
    /// moved.
    ReadyCallers(ExecutionFleet &fleet, std::size_t callers, std::uint64_t seed);
    ~ReadyCallers();
    ReadyCallers(const ReadyCallers &) = delete;
    auto operator=(const ReadyCallers &) -> ReadyCallers & = delete;

    /// Waits until each caller has finished its current request, then joins all threads.
    auto stop() -> void;

private:
    auto pollReadiness() -> void;
    auto runCaller(std::size_t caller, std::uint64_t seed) -> void;
    [[nodiscard]] auto readyAddresses() const -> std::vector<std::string>;

    ExecutionFleet &fleet;
    /// The caller and the admin address of each host.
    std::vector<testkit::HostAddresses> hosts;
    mutable std::mutex mutex;
    std::vector<std::string> readyHosts;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
};

} // namespace tamarackspan::execution_test
