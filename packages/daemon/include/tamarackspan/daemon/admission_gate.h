#pragma once

#include "tamarackspan/admission/admission.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace tamarackspan::daemon {

/// The host's admission, behind one mutex for all threads. Decisions are told after the mutex is let go.
class AdmissionGate
{
public:
    /// Called once with Admitted or Refused. After Admitted, finished() must be called with the same token.
    using DecisionHandler = std::function<void(admission::RequestToken, const admission::Decision &)>;

    explicit AdmissionGate(const admission::AdmissionConfig &config);

    /// Offers a request; its token is set here. The handler is called from within this call, or later from another thread.
    auto offer(admission::Request request, const DecisionHandler &handler) -> void;

    /// Takes down that an admitted request has ended.
    auto finished(admission::RequestToken token) -> void;

    /// Refuses what waits in vain; to be called every few milliseconds while it returns true: then requests still wait.
    auto tick() -> bool;

    /// Puts a customer's budget in force.
    auto setBudget(const base::CustomerName &customer, const admission::BudgetSchedule &budget) -> void;

    /// Forgets a customer.
    auto removeBudget(const base::CustomerName &customer) -> void;

    /// Returns and resets what a customer needed since the last call.
    [[nodiscard]] auto takeDemand(const base::CustomerName &customer) -> admission::DemandCounts;

    /// Returns the customers that offered a request since the last call.
    [[nodiscard]] auto takeActive() -> absl::flat_hash_set<base::CustomerName>;

    /// Returns how many requests of a customer run.
    [[nodiscard]] auto runningOf(const base::CustomerName &customer) const -> std::uint32_t;

    /// Returns how many requests run or wait.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct Told
    {
        DecisionHandler handler;
        admission::RequestToken token;
        admission::Decision decision;
    };

    auto collect(const std::vector<admission::LateDecision> &decisions) -> std::vector<Told>;
    static auto tell(const std::vector<Told> &decisions) -> void;

    mutable std::mutex mutex;
    admission::AdmissionState state;
    absl::flat_hash_map<admission::RequestToken, DecisionHandler> waiting;
    absl::flat_hash_set<base::CustomerName> active;
    std::atomic<std::uint64_t> lastToken{0};
};

} // namespace tamarackspan::daemon
