#include "tamarackspan/daemon/admission_gate.h"

#include "tamarackspan/base/clock.h"

#include <utility>
#include <variant>

namespace tamarackspan::daemon {

AdmissionGate::AdmissionGate(const admission::AdmissionConfig &config)
    : state(admission::makeAdmission(config))
{
}

auto AdmissionGate::offer(admission::Request request, const DecisionHandler &handler) -> void
{
    request.token = admission::RequestToken(++this->lastToken);
    auto decision = admission::Decision();
    {
        const auto lock = std::lock_guard(this->mutex);
        this->active.insert(request.customer);
        decision = admission::offer(this->state, request, base::monotonicNow());
        if (std::holds_alternative<admission::Queued>(decision)) {
            this->waiting.emplace(request.token, handler);
            return;
        }
    }
    handler(request.token, decision);
}

auto AdmissionGate::finished(admission::RequestToken token) -> void
{
    auto decisions = std::vector<Notification>();
    {
        const auto lock = std::lock_guard(this->mutex);
        decisions = this->collect(admission::finished(this->state, token, base::monotonicNow()));
    }
    notify(decisions);
}

auto AdmissionGate::tick() -> bool
{
    auto decisions = std::vector<Notification>();
    auto stillWaiting = false;
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->waiting.empty()) {
            return false;
        }
        const auto now = base::monotonicNow();
        decisions = this->collect(admission::expire(this->state, now));
        auto started = this->collect(admission::startQueued(this->state, now));
        std::move(started.begin(), started.end(), std::back_inserter(decisions));
        stillWaiting = !this->waiting.empty();
    }
    notify(decisions);
    return stillWaiting;
}

auto AdmissionGate::takeActive() -> absl::flat_hash_set<base::CustomerName>
{
    const auto lock = std::lock_guard(this->mutex);
    return std::exchange(this->active, {});
}

auto AdmissionGate::setBudget(const base::CustomerName &customer, const admission::BudgetSchedule &budget) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    admission::setBudget(this->state, customer, budget, base::monotonicNow());
}

auto AdmissionGate::removeBudget(const base::CustomerName &customer) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    admission::removeBudget(this->state, customer);
}

auto AdmissionGate::takeDemand(const base::CustomerName &customer) -> admission::DemandCounts
{
    const auto lock = std::lock_guard(this->mutex);
    return admission::takeDemand(this->state, customer, base::monotonicNow());
}

auto AdmissionGate::runningOf(const base::CustomerName &customer) const -> std::uint32_t
{
    const auto lock = std::lock_guard(this->mutex);
    const auto known = this->state.customers.find(customer);
    return known == this->state.customers.end() ? 0 : known->second.running;
}

auto AdmissionGate::pending() const -> std::size_t
{
    const auto lock = std::lock_guard(this->mutex);
    return this->state.running.size() + this->waiting.size();
}

auto AdmissionGate::collect(const std::vector<admission::DeferredDecision> &decisions) -> std::vector<Notification>
{
    auto notifications = std::vector<Notification>();
    for (const auto &deferred : decisions) {
        auto node = this->waiting.extract(deferred.token);
        if (!node.empty()) {
            notifications.push_back({std::move(node.mapped()), deferred.token, deferred.decision});
        }
    }
    return notifications;
}

auto AdmissionGate::notify(const std::vector<Notification> &decisions) -> void
{
    for (const auto &notification : decisions) {
        notification.handler(notification.token, notification.decision);
    }
}

} // namespace tamarackspan::daemon
