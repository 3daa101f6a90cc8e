#pragma once

#include "tamarackspan/admission/demand.h"
#include "tamarackspan/admission/own_share.h"
#include "tamarackspan/base/ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackspan::admission {

/// Identifies one budget request: unique together with the borrower's incarnation.
using BudgetRequestId = base::StrongValue<struct AskIdTag, std::uint64_t>;

/// Requests part of the budget of another host in the same data centre.
struct BudgetRequest
{
    BudgetRequestId id;
    base::HostId borrower;
    base::Incarnation borrowerIncarnation;
    base::CustomerName customer;
    Budget wanted;
    /// The loan from the same lender that the new one replaces; 0 for none.
    BudgetRequestId renews;

    friend auto operator==(const BudgetRequest &, const BudgetRequest &) -> bool = default;
};

/// Answers a budget request. An empty budget is a refusal.
struct BudgetGrant
{
    BudgetRequestId id;
    base::HostId lender;
    base::Incarnation lenderIncarnation;
    base::Incarnation borrowerIncarnation;
    base::CustomerName customer;
    Budget granted;
    /// How long the loan lasts, counted from when the borrower first sent the request.
    absl::Duration duration;
    /// What the lender could still lend after this grant: a hint for the next request.
    Budget spare;

    friend auto operator==(const BudgetGrant &, const BudgetGrant &) -> bool = default;
};

/// Returns a loan before its end. The borrower has stopped using it when it sends this.
struct BudgetReturn
{
    BudgetRequestId id;
    base::Incarnation borrowerIncarnation;
    base::Incarnation lenderIncarnation;
    base::CustomerName customer;

    friend auto operator==(const BudgetReturn &, const BudgetReturn &) -> bool = default;
};

/// Settings of budget lending. Hosts of a data centre lend each other some of a customer's budget for a limited time: a loan is a lease on that amount.
struct LendingConfig
{
    /// Maximum duration of a loan. At most the lease of the host list.
    absl::Duration loanDuration = absl::Seconds(2);
    /// How often demand is measured and budget requests are sent.
    absl::Duration interval = absl::Milliseconds(200);
    /// A budget request without an answer is given up after this time. Less than loanDuration.
    absl::Duration requestTimeout = absl::Milliseconds(500);
    /// A host that had nothing to lend is not asked again for this long.
    absl::Duration refusalBackoff = absl::Milliseconds(500);
    /// Maximum number of unanswered budget requests of one customer.
    std::uint32_t maxPending = 4;
    /// Allowance for clock drift: the lender books a loan for this many thousandths longer than the borrower may use it.
    std::uint32_t clockDriftPermille = 10;
    /// False lets the lender keep using what it lends. For tests that show what lowering the own budget before lending prevents.
    bool lowerBeforeLending = true;
    /// False counts the duration of a loan from the grant's arrival. For tests that show what counting from the request prevents.
    bool countFromRequest = true;

    friend auto operator==(const LendingConfig &, const LendingConfig &) -> bool = default;
};

/// A loan to another host.
struct LoanOut
{
    BudgetRequestId id;
    /// The loan that this one replaced; 0 for none.
    BudgetRequestId replaced;
    base::Incarnation borrowerIncarnation;
    Budget units;
    absl::Duration duration;
    /// From this time on the lender may use the rate and burst again.
    absl::Time rateBackAt;
    /// From this time on the lender may use the concurrency again: requests that the borrower started during the loan have ended.
    absl::Time concurrencyBackAt;

    friend auto operator==(const LoanOut &, const LoanOut &) -> bool = default;
};

/// A loan from another host.
struct LoanIn
{
    BudgetRequestId id;
    base::HostId lender;
    base::Incarnation lenderIncarnation;
    Budget units;
    absl::Time endsAt;

    friend auto operator==(const LoanIn &, const LoanIn &) -> bool = default;
};

/// A budget request without an answer yet.
struct PendingBudgetRequest
{
    BudgetRequestId id;
    base::HostId lender;
    absl::Time askedAt;
    Budget wanted;
    BudgetRequestId renews;

    friend auto operator==(const PendingBudgetRequest &, const PendingBudgetRequest &) -> bool = default;
};

/// Demand of one customer on this host, estimated from the counts of admission.
struct Demand
{
    /// Requests per second, admitted or not, smoothed.
    double smoothedRate = 0;
    /// The rate to provide for: at least the smoothed one.
    double rate = 0;
    /// The most requests that run at the same time.
    double concurrency = 0;

    friend auto operator==(const Demand &, const Demand &) -> bool = default;
};

/// What a host last reported that it could lend; an empty budget if it did not answer.
struct LenderHint
{
    Budget spare;
    absl::Time at;

    friend auto operator==(const LenderHint &, const LenderHint &) -> bool = default;
};

/// The budget of one customer on one host.
struct CustomerLending
{
    OwnShare own;
    /// The total that all hosts of the data centre share.
    Budget shared;
    Demand demand;
    /// The longest that a request of this customer runs.
    absl::Duration maxRequestDuration;
    std::vector<LoanOut> loansOut;
    std::vector<LoanIn> loansIn;
    std::vector<PendingBudgetRequest> pending;
    absl::flat_hash_map<base::HostId, LenderHint> hints;

    friend auto operator==(const CustomerLending &, const CustomerLending &) -> bool = default;
};

/// Own, lent and borrowed budgets of one host.
struct LendingState
{
    base::HostId self;
    base::Incarnation incarnation;
    LendingConfig config;
    std::uint64_t lastRequestId = 0;
    absl::flat_hash_map<base::CustomerName, CustomerLending> customers;

    friend auto operator==(const LendingState &, const LendingState &) -> bool = default;
};

/// A budget request and its destination.
struct AddressedBudgetRequest
{
    base::HostId lender;
    BudgetRequest request;

    friend auto operator==(const AddressedBudgetRequest &, const AddressedBudgetRequest &) -> bool = default;
};

/// A return and its destination.
struct AddressedReturn
{
    base::HostId lender;
    BudgetReturn budgetReturn;

    friend auto operator==(const AddressedReturn &, const AddressedReturn &) -> bool = default;
};

/// Sets a customer's own share; called whenever the host list is confirmed. `shared` is the total that all hosts of the data centre share; `maxRequestDuration`
/// is the longest that a request of this customer runs.
auto setOwnShare(LendingState &state, const base::CustomerName &customer, const OwnShare &own, const Budget &shared, absl::Duration maxRequestDuration) -> void;

/// Removes a customer. Its loans must have ended or its contract been removed.
auto removeCustomer(LendingState &state, const base::CustomerName &customer) -> void;

/// Records a customer's demand since the last call; to be called every interval. A rise takes effect at once, a fall gradually.
auto recordDemand(LendingState &state, const base::CustomerName &customer, const DemandCounts &counts) -> void;

/// Returns what this host may use from now on: its own share, less loans to others, plus borrowed budget, each until its end.
[[nodiscard]] auto scheduleOf(const LendingState &state, const base::CustomerName &customer, absl::Time now) -> BudgetSchedule;

/// Returns the next budget request that a customer's demand calls for, if any, and records it as pending: first the renewal of a loan that ends soon, then a
/// new loan. To be called every interval and after each grant, until it returns nothing. `peers` are the hosts that may hold a share; `seed` randomises the
/// choice among them.
[[nodiscard]] auto nextBudgetRequest(LendingState &state, const base::CustomerName &customer, const std::vector<base::HostId> &peers, std::uint64_t seed,
                                     absl::Time now) -> std::optional<AddressedBudgetRequest>;

/// Answers a budget request. Books the loan first: the caller must put scheduleOf() into force before it sends the grant. A repeated request gets the same
/// grant again. `running` is how many of the customer's requests run here now: their concurrency is not lent.
[[nodiscard]] auto answerBudgetRequest(LendingState &state, const BudgetRequest &request, std::uint32_t running, absl::Time now) -> BudgetGrant;

/// Records a grant. One that matches no pending request is ignored. Returns true if the schedule changed.
auto acceptGrant(LendingState &state, const BudgetGrant &grant, absl::Time now) -> bool;

/// Returns a loan that the customer's demand no longer needs, if there is one, and stops using it: the caller must put scheduleOf() into force before it sends
/// the return. `running` is how many of the customer's requests run here now: concurrency that they use is not returned.
[[nodiscard]] auto nextReturn(LendingState &state, const base::CustomerName &customer, std::uint32_t running, absl::Time now) -> std::optional<AddressedReturn>;

/// Ends a loan that the borrower returned early. An unknown one is ignored. Returns true if the schedule changed.
auto acceptReturn(LendingState &state, const BudgetReturn &budgetReturn, absl::Time now) -> bool;

/// Drops loans that have ended and budget requests that have timed out. Returns true if a schedule may have changed.
auto expireLoans(LendingState &state, absl::Time now) -> bool;

} // namespace tamarackspan::admission
