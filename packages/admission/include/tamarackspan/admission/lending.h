#pragma once

#include "tamarackspan/admission/demand.h"
#include "tamarackspan/admission/own_part.h"
#include "tamarackspan/base/ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackspan::admission {

/// Names one ask: unique together with the borrower's incarnation.
using AskId = base::StrongValue<struct AskIdTag, std::uint64_t>;

/// Asks a host of the same data centre for a part of its budget.
struct BudgetAsk
{
    AskId id;
    base::HostId borrower;
    base::Incarnation borrowerIncarnation;
    base::CustomerName customer;
    Budget wanted;
    /// The loan from the same lender that the new one replaces; 0 for none.
    AskId renews;

    friend auto operator==(const BudgetAsk &, const BudgetAsk &) -> bool = default;
};

/// Answers an ask. An empty budget is a refusal.
struct BudgetGrant
{
    AskId id;
    base::HostId lender;
    base::Incarnation lenderIncarnation;
    base::Incarnation borrowerIncarnation;
    base::CustomerName customer;
    Budget granted;
    /// How long the right lasts, counted from when the borrower first sent the ask.
    absl::Duration duration;
    /// What the lender could still lend after this grant: a hint for the next ask.
    Budget spare;

    friend auto operator==(const BudgetGrant &, const BudgetGrant &) -> bool = default;
};

/// Gives a loan back before its end. The borrower has stopped using it when it sends this.
struct BudgetReturn
{
    AskId id;
    base::Incarnation borrowerIncarnation;
    base::Incarnation lenderIncarnation;
    base::CustomerName customer;

    friend auto operator==(const BudgetReturn &, const BudgetReturn &) -> bool = default;
};

/// How lending goes.
struct LendingConfig
{
    /// How long a loan lasts at the most. At most the lease of the host list.
    absl::Duration loanDuration = absl::Seconds(2);
    /// How often demand is measured and asks are sent.
    absl::Duration interval = absl::Milliseconds(200);
    /// After this long without an answer an ask is given up. Less than loanDuration.
    absl::Duration askTimeout = absl::Milliseconds(500);
    /// A host that had nothing to lend isn't asked again for this long.
    absl::Duration refusalBackoff = absl::Milliseconds(500);
    /// Asks of one customer that may be without an answer at a time.
    std::uint32_t maxPending = 4;
    /// The lender keeps a loan booked for this many thousandths longer than the borrower may use it, for clocks that run at different speeds.
    std::uint32_t clockDriftPermille = 10;
    /// False lets the lender go on using what it lends. For tests that show what lowering first prevents.
    bool lowerFirst = true;
    /// False counts the borrower's right from the grant's arrival. For tests that show what counting from the ask prevents.
    bool countFromAsk = true;

    friend auto operator==(const LendingConfig &, const LendingConfig &) -> bool = default;
};

/// What was lent to another host.
struct LoanOut
{
    AskId id;
    /// The loan that this one replaced; 0 for none.
    AskId replaced;
    base::Incarnation borrowerIncarnation;
    Budget units;
    absl::Duration duration;
    /// From this time on rate and burst are the lender's again.
    absl::Time rateBackAt;
    /// From this time on the concurrency is the lender's again: what was begun within the right has ended.
    absl::Time concurrencyBackAt;

    friend auto operator==(const LoanOut &, const LoanOut &) -> bool = default;
};

/// What was borrowed from another host.
struct LoanIn
{
    AskId id;
    base::HostId lender;
    base::Incarnation lenderIncarnation;
    Budget units;
    absl::Time endsAt;

    friend auto operator==(const LoanIn &, const LoanIn &) -> bool = default;
};

/// An ask without an answer yet.
struct PendingAsk
{
    AskId id;
    base::HostId lender;
    absl::Time askedAt;
    Budget wanted;
    AskId renews;

    friend auto operator==(const PendingAsk &, const PendingAsk &) -> bool = default;
};

/// What one customer's requests need, as learned from the counts of admission.
struct Demand
{
    /// Requests per second, admitted or not, smoothed.
    double smoothedRate = 0;
    /// The rate to provide for: no less than the smoothed one.
    double rate = 0;
    /// Requests that run at once, at the most.
    double concurrency = 0;

    friend auto operator==(const Demand &, const Demand &) -> bool = default;
};

/// What a host last said that it could lend; nothing if it didn't answer.
struct LenderHint
{
    Budget spare;
    absl::Time at;

    friend auto operator==(const LenderHint &, const LenderHint &) -> bool = default;
};

/// The budget of one customer on one host.
struct CustomerLending
{
    OwnPart own;
    /// What all hosts of the data centre share.
    Budget shared;
    Demand demand;
    /// The longest that a request of this customer runs.
    absl::Duration hold;
    std::vector<LoanOut> loansOut;
    std::vector<LoanIn> loansIn;
    std::vector<PendingAsk> pending;
    absl::flat_hash_map<base::HostId, LenderHint> hints;

    friend auto operator==(const CustomerLending &, const CustomerLending &) -> bool = default;
};

/// The budgets of one host, lent and borrowed.
struct LendingState
{
    base::HostId self;
    base::Incarnation incarnation;
    LendingConfig config;
    std::uint64_t lastAskId = 0;
    absl::flat_hash_map<base::CustomerName, CustomerLending> customers;

    friend auto operator==(const LendingState &, const LendingState &) -> bool = default;
};

/// An ask and the host that it goes to.
struct AddressedAsk
{
    base::HostId lender;
    BudgetAsk ask;

    friend auto operator==(const AddressedAsk &, const AddressedAsk &) -> bool = default;
};

/// A return and the host that it goes to.
struct AddressedReturn
{
    base::HostId lender;
    BudgetReturn giveBack;

    friend auto operator==(const AddressedReturn &, const AddressedReturn &) -> bool = default;
};

/// Sets a customer's own part, as often as the host list is confirmed. `shared` is what all hosts of the data centre share; `hold` is the longest that a
/// request of this customer runs.
auto setOwnPart(LendingState &state, const base::CustomerName &customer, const OwnPart &own, const Budget &shared, absl::Duration hold) -> void;

/// Forgets a customer. Its loans must have ended or its contract be gone.
auto removeCustomer(LendingState &state, const base::CustomerName &customer) -> void;

/// Records what a customer needed since the last call, to be called every interval. More counts at once, less counts slowly.
auto recordDemand(LendingState &state, const base::CustomerName &customer, const DemandCounts &counts) -> void;

/// Returns what this host may use from now on: own part, less loans out, plus loans in, each to its end.
[[nodiscard]] auto scheduleOf(const LendingState &state, const base::CustomerName &customer, absl::Time now) -> BudgetSchedule;

/// Returns the ask that a customer's demand calls for, if any, and remembers it as pending: first the renewal of a loan that ends soon, then a new one. To be
/// called every interval and after each grant, until it returns nothing. `peers` are the hosts that may hold a part; `seed` spreads the choice among them.
[[nodiscard]] auto nextAsk(LendingState &state, const base::CustomerName &customer, const std::vector<base::HostId> &peers, std::uint64_t seed, absl::Time now)
    -> std::optional<AddressedAsk>;

/// Answers an ask. Books the loan first: the caller must put scheduleOf() in force before it sends the grant. The same ask gets the same grant again.
/// `running` is how many of the customer's requests run here now: their concurrency isn't lent.
[[nodiscard]] auto answerAsk(LendingState &state, const BudgetAsk &ask, std::uint32_t running, absl::Time now) -> BudgetGrant;

/// Takes a grant in. One that isn't awaited is ignored. Returns true if the schedule changed.
auto acceptGrant(LendingState &state, const BudgetGrant &grant, absl::Time now) -> bool;

/// Returns a loan that the customer's demand needs no more, if there is one, and stops using it: the caller must put scheduleOf() in force before it sends the
/// return. `running` is how many of the customer's requests run here now: concurrency that they use isn't returned.
[[nodiscard]] auto nextReturn(LendingState &state, const base::CustomerName &customer, std::uint32_t running, absl::Time now) -> std::optional<AddressedReturn>;

/// Takes a loan back before its end. One that isn't known is ignored. Returns true if the schedule changed.
auto acceptReturn(LendingState &state, const BudgetReturn &giveBack, absl::Time now) -> bool;

/// Drops loans and asks that have ended. Returns true if a schedule may have changed.
auto expireLoans(LendingState &state, absl::Time now) -> bool;

} // namespace tamarackspan::admission
