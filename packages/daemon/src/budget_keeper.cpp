#include "tamarackspan/daemon/budget_keeper.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::daemon {

namespace {

auto longestDeadlineOf(const contracts::Contract &contract) -> absl::Duration
{
    auto longest = absl::ZeroDuration();
    for (const auto &[name, operation] : contract.operations) {
        longest = std::max(longest, operation.deadline);
    }
    return longest;
}

/// How many times within a lease the budgets of idle customers are renewed; often enough that they never run out.
constexpr auto renewalsPerLease = 4;
constexpr auto maxIdleTicks = std::int64_t{10};

auto ticksBetweenRenewals(absl::Duration lease, absl::Duration interval) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(lease / renewalsPerLease / interval, 1, maxIdleTicks));
}

} // namespace

BudgetKeeper::BudgetKeeper(HostIdentity identity, admission::LendingConfig config, const membership::RosterState &roster, AdmissionGate &gate, Sender sender)
    : identity(std::move(identity)),
      roster(roster),
      gate(gate),
      sender(std::move(sender))
{
    this->lending.self = this->identity.host;
    this->lending.incarnation = this->identity.incarnation;
    this->lending.config = config;
}

auto BudgetKeeper::updateContracts(const Contracts &contracts) -> void
{
    for (auto it = this->customers.begin(); it != this->customers.end();) {
        if (contracts.contains(it->first)) {
            ++it;
            continue;
        }
        this->gate.removeBudget(it->first);
        admission::removeCustomer(this->lending, it->first);
        this->customers.erase(it++);
    }
    for (const auto &[name, contract] : contracts) {
        auto &customer = this->customers[name];
        if (customer.contract != contract) {
            customer = {contract, admission::dataCentreBudget(*contract, this->identity.dataCentre), longestDeadlineOf(*contract)};
        }
    }
}

auto BudgetKeeper::tick(absl::Time now) -> void
{
    ++this->ticks;
    auto peers = std::vector<base::HostId>();
    if (const auto *list = membership::newestList(this->roster)) {
        for (const auto &host : list->hosts) {
            if (host.id != this->identity.host && !host.leaving) {
                peers.push_back(host.id);
            }
        }
    }
    admission::expireLoans(this->lending, now);
    const auto active = this->gate.takeActive();
    const auto revision = membership::newestRevision(this->roster);
    const auto settled = this->holdsOwnShare(now);
    const auto sharesChanged = std::exchange(this->lastRevision, revision) != revision || std::exchange(this->lastSettled, settled) != settled;
    const auto idleTicks = ticksBetweenRenewals(this->roster.config.lease, this->lending.config.interval);
    auto turn = this->ticks;
    for (auto &[name, customer] : this->customers) {
        ++turn;
        if (!customer.quiet || sharesChanged || turn % idleTicks == 0 || active.contains(name)) {
            this->tickCustomer(name, customer, peers, now);
            customer.quiet = !active.contains(name) && this->hasNoLoans(name);
        }
    }
}

auto BudgetKeeper::holdsOwnShare(absl::Time now) const -> bool
{
    const auto *list = membership::newestList(this->roster);
    // If the limit has one unit for each host, each host's share is one unit.
    const auto oneEach = list == nullptr ? 0U : static_cast<std::uint32_t>(list->hosts.size());
    return membership::currentShare(this->roster, oneEach, "one each", this->longestRequestDuration(), now).units > 0;
}

auto BudgetKeeper::hasNoLoans(const base::CustomerName &name) const -> bool
{
    const auto known = this->lending.customers.find(name);
    return known != this->lending.customers.end() && known->second.loansIn.empty() && known->second.loansOut.empty() && known->second.pending.empty();
}

auto BudgetKeeper::tickCustomer(const base::CustomerName &name, Customer &customer, const std::vector<base::HostId> &peers, absl::Time now) -> void
{
    admission::setOwnShare(this->lending, name, this->ownShare(name, customer, now), customer.dataCentreBudget, customer.maxRequestDuration);
    admission::recordDemand(this->lending, name, this->gate.takeDemand(name));
    const auto addressed = admission::nextReturn(this->lending, name, this->gate.runningOf(name), now);
    this->applyBudget(name, now);
    if (addressed) {
        this->sender.budgetReturn(addressed->lender, addressed->budgetReturn);
    }
    this->requestBudget(name, peers, now);
}

auto BudgetKeeper::ownShare(const base::CustomerName &name, const Customer &customer, absl::Time now) const -> admission::OwnShare
{
    const auto rate = membership::currentShare(this->roster, customer.dataCentreBudget.rate, name.get(), absl::ZeroDuration(), now);
    const auto burst = membership::currentShare(this->roster, customer.dataCentreBudget.burst, name.get(), absl::ZeroDuration(), now);
    const auto concurrency = membership::currentShare(this->roster, customer.dataCentreBudget.concurrency, name.get(), customer.maxRequestDuration, now);
    return {{rate.units, burst.units, concurrency.units}, std::max({rate.validUntil, burst.validUntil, concurrency.validUntil})};
}

auto BudgetKeeper::applyBudget(const base::CustomerName &customer, absl::Time now) -> void
{
    this->gate.setBudget(customer, admission::scheduleOf(this->lending, customer, now));
}

auto BudgetKeeper::requestBudget(const base::CustomerName &customer, const std::vector<base::HostId> &peers, absl::Time now) -> void
{
    const auto seed = this->identity.incarnation.get() + this->ticks;
    while (const auto next = admission::nextBudgetRequest(this->lending, customer, peers, seed, now)) {
        this->sender.request(next->lender, next->request);
    }
}

auto BudgetKeeper::onRequest(const admission::BudgetRequest &request, absl::Time now) -> void
{
    const auto known = this->customers.find(request.customer);
    if (known == this->customers.end()) {
        return;
    }
    const auto grant = admission::answerBudgetRequest(this->lending, request, this->gate.runningOf(request.customer), now);
    this->applyBudget(request.customer, now);
    this->sender.grant(request.borrower, grant);
}

auto BudgetKeeper::onGrant(const admission::BudgetGrant &grant, absl::Time now) -> void
{
    if (this->customers.contains(grant.customer) && admission::acceptGrant(this->lending, grant, now)) {
        this->applyBudget(grant.customer, now);
    }
}

auto BudgetKeeper::onReturn(const admission::BudgetReturn &budgetReturn, absl::Time now) -> void
{
    if (this->customers.contains(budgetReturn.customer) && admission::acceptReturn(this->lending, budgetReturn, now)) {
        this->applyBudget(budgetReturn.customer, now);
    }
}

auto BudgetKeeper::budgetOf(const base::CustomerName &customer, absl::Time now) const -> admission::Budget
{
    return this->customers.contains(customer) ? admission::budgetAt(admission::scheduleOf(this->lending, customer, now), now) : admission::Budget();
}

auto BudgetKeeper::ownShareOf(const base::CustomerName &customer) const -> admission::Budget
{
    const auto known = this->lending.customers.find(customer);
    return known == this->lending.customers.end() ? admission::Budget() : known->second.own.budget;
}

auto BudgetKeeper::longestRequestDuration() const noexcept -> absl::Duration
{
    auto longest = absl::ZeroDuration();
    for (const auto &[name, customer] : this->customers) {
        longest = std::max(longest, customer.maxRequestDuration);
    }
    return longest;
}

} // namespace tamarackspan::daemon
