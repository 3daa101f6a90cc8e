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

/// The host's admission, guarded by one mutex for all threads. Decision handlers are called after the mutex is released.
class AdmissionGate
{
public:
    /// Called once with Admitted or Refused. After Admitted, finished() must be called with the same token.
    using DecisionHandler = std::function<void(admission::RequestToken, const admission::Decision &)>;

    explicit AdmissionGate(const admission::AdmissionConfig &config);

    /// Offers a request; its token is set here. The handler is called from within this call, or later from another thread.
    auto offer(admission::Request request, const DecisionHandler &handler) -> void;

    /// Reports that an admitted request has ended; this may admit queued requests.
    auto finished(admission::RequestToken token) -> void;

    /// Refuses queued requests that have expired and starts those that the budgets now allow. To be called every few milliseconds while it returns true, which
    /// means that requests are still queued.
    auto tick() -> bool;

    /// Sets the budget that a customer's requests are admitted against.
    auto setBudget(const base::CustomerName &customer, const admission::BudgetSchedule &budget) -> void;

    /// Removes a customer's budget.
    auto removeBudget(const base::CustomerName &customer) -> void;

    /// Returns a customer's demand since the last call and resets it.
    [[nodiscard]] auto takeDemand(const base::CustomerName &customer) -> admission::DemandCounts;

    /// Returns the customers that offered a request since the last call.
    [[nodiscard]] auto takeActive() -> absl::flat_hash_set<base::CustomerName>;

    /// Returns how many requests of a customer run.
    [[nodiscard]] auto runningOf(const base::CustomerName &customer) const -> std::uint32_t;

    /// Returns how many requests run or are queued.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct Notification
    {
        DecisionHandler handler;
        admission::RequestToken token;
        admission::Decision decision;
    };

    auto collect(const std::vector<admission::DeferredDecision> &decisions) -> std::vector<Notification>;
    static auto notify(const std::vector<Notification> &decisions) -> void;

    mutable std::mutex mutex;
    admission::AdmissionState state;
    absl::flat_hash_map<admission::RequestToken, DecisionHandler> waiting;
    absl::flat_hash_set<base::CustomerName> active;
    std::atomic<std::uint64_t> lastToken{0};
};

} // namespace tamarackspan::daemon
