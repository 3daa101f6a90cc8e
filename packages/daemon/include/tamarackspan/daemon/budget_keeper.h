#pragma once

#include "tamarackspan/admission/lending.h"
#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/daemon/admission_gate.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/membership/roster.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace tamarackspan::daemon {

/// Keeps what this host may use of each contract's limits: its own share, what it lent and what it borrowed. On the control thread only.
class BudgetKeeper
{
public:
    /// Send the messages of budget lending to another host; the messages may be lost.
    struct Sender
    {
        std::function<void(const base::HostId &, const admission::BudgetRequest &)> request;
        std::function<void(const base::HostId &, const admission::BudgetGrant &)> grant;
        std::function<void(const base::HostId &, const admission::BudgetReturn &)> budgetReturn;
    };

    using Contracts = absl::flat_hash_map<base::CustomerName, std::shared_ptr<const contracts::Contract>>;

    BudgetKeeper(HostIdentity identity, admission::LendingConfig config, const membership::RosterState &roster, AdmissionGate &gate, Sender sender);

    /// Replaces the contracts. A customer without a contract loses its budget.
    auto updateContracts(const Contracts &contracts) -> void;

    /// Updates own shares, loans and budgets, and requests missing budget from other hosts. To be called every LendingConfig::interval.
    auto tick(absl::Time now) -> void;

    /// Handle the messages of budget lending.
    auto onRequest(const admission::BudgetRequest &request, absl::Time now) -> void;
    auto onGrant(const admission::BudgetGrant &grant, absl::Time now) -> void;
    auto onReturn(const admission::BudgetReturn &budgetReturn, absl::Time now) -> void;

    /// Returns what this host may use of a customer's limits now.
    [[nodiscard]] auto budgetOf(const base::CustomerName &customer, absl::Time now) const -> admission::Budget;

    /// Returns this host's own share of a customer's limits, before lending.
    [[nodiscard]] auto ownShareOf(const base::CustomerName &customer) const -> admission::Budget;

    /// Returns whether this host's own shares are in force.
    [[nodiscard]] auto holdsOwnShare(absl::Time now) const -> bool;

    /// Returns the longest that a request of any customer may run.
    [[nodiscard]] auto longestRequestDuration() const noexcept -> absl::Duration;

private:
    struct Customer
    {
        std::shared_ptr<const contracts::Contract> contract;
        admission::Budget dataCentreBudget;
        absl::Duration maxRequestDuration;
        /// At the last update no request had been offered, and no loan was open or requested.
        bool quiet = false;
    };

    [[nodiscard]] auto hasNoLoans(const base::CustomerName &name) const -> bool;
    auto tickCustomer(const base::CustomerName &name, Customer &customer, const std::vector<base::HostId> &peers, absl::Time now) -> void;
    [[nodiscard]] auto ownShare(const base::CustomerName &name, const Customer &customer, absl::Time now) const -> admission::OwnShare;
    auto applyBudget(const base::CustomerName &customer, absl::Time now) -> void;
    auto requestBudget(const base::CustomerName &customer, const std::vector<base::HostId> &peers, absl::Time now) -> void;

    HostIdentity identity;
    const membership::RosterState &roster;
    AdmissionGate &gate;
    Sender sender;
    admission::LendingState lending;
    absl::flat_hash_map<base::CustomerName, Customer> customers;
    std::uint64_t ticks = 0;
    base::Revision lastRevision;
    bool lastSettled = false;
};

} // namespace tamarackspan::daemon
