#include "tamarackspan/admission/lending.h"

#include "tamarackspan/base/random.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::admission {

namespace {

// Headroom over the measured demand, so that a customer whose demand grows slowly is seldom refused.
constexpr auto demandHeadroom = 1.1;
// The longest and the shortest time constant over which demand is smoothed. In between, it is the time in which minSampleCount requests arrive.
constexpr auto maxDemandSeconds = 1.0;
constexpr auto minDemandSeconds = 0.1;
// From this many requests within an interval on, their rate takes effect at once.
constexpr auto minSampleCount = std::uint32_t{4};
// Demand below this counts as none.
constexpr auto minDemand = 0.05;

auto unitsFor(double demand) -> std::uint32_t
{
    return demand < minDemand ? 0 : static_cast<std::uint32_t>(std::ceil(demand));
}

auto shareOf(std::uint32_t units, std::uint32_t part, std::uint32_t whole) -> std::uint32_t
{
    return whole == 0 ? units : static_cast<std::uint32_t>((std::uint64_t{units} * part + whole - 1) / whole);
}

// What the customer needs on this host, at most the total that the data centre shares.
auto needOf(const CustomerLending &customer) -> Budget
{
    auto need = Budget();
    need.rate = std::min(unitsFor(customer.demand.rate * demandHeadroom), customer.shared.rate);
    need.concurrency = std::min(unitsFor(customer.demand.concurrency), customer.shared.concurrency);
    need.burst = need.rate == 0 ? 0 : shareOf(customer.shared.burst, need.rate, customer.shared.rate);
    return need;
}

auto lentOut(const CustomerLending &customer, absl::Time now) -> Budget
{
    auto sum = Budget();
    for (const auto &loan : customer.loansOut) {
        if (now < loan.rateBackAt) {
            sum.rate += loan.units.rate;
            sum.burst += loan.units.burst;
        }
        if (now < loan.concurrencyBackAt) {
            sum.concurrency += loan.units.concurrency;
        }
    }
    return sum;
}

auto ownLeft(const CustomerLending &customer, absl::Time now) -> Budget
{
    return now < customer.own.until ? subtractBudget(customer.own.budget, lentOut(customer, now)) : Budget();
}

auto borrowedAt(const CustomerLending &customer, absl::Time time) -> Budget
{
    auto sum = Budget();
    for (const auto &loan : customer.loansIn) {
        if (time < loan.endsAt) {
            sum = sum + loan.units;
        }
    }
    return sum;
}

auto available(const CustomerLending &customer, absl::Time now) -> Budget
{
    return ownLeft(customer, now) + borrowedAt(customer, now);
}

// What may be lent: what is left of the own share beyond the need. Borrowed budget is never lent on.
auto spareOf(const CustomerLending &customer, std::uint32_t running, absl::Time now) -> Budget
{
    auto need = needOf(customer);
    need.concurrency = std::max(need.concurrency, running);
    return subtractBudget(ownLeft(customer, now), need);
}

auto pendingSum(const CustomerLending &customer) -> Budget
{
    auto sum = Budget();
    for (const auto &ask : customer.pending) {
        if (ask.renews == BudgetRequestId()) {
            sum = sum + ask.wanted;
        }
    }
    return sum;
}

auto isRenewed(const CustomerLending &customer, BudgetRequestId loan) -> bool
{
    return std::any_of(customer.pending.begin(), customer.pending.end(), [loan](const auto &ask) {
        return ask.renews == loan;
    });
}

auto addPending(LendingState &state, CustomerLending &customer, const base::CustomerName &name, const base::HostId &lender, const Budget &wanted,
                BudgetRequestId renews, absl::Time now) -> AddressedBudgetRequest
{
    const auto id = BudgetRequestId(++state.lastRequestId);
    customer.pending.push_back({id, lender, now, wanted, renews});
    return {lender, {id, state.self, state.incarnation, name, wanted, renews}};
}

// Returns the loan that must be renewed now and how much of it is needed.
auto renewal(const LendingState &state, const CustomerLending &customer, absl::Time now) -> std::optional<std::pair<const LoanIn *, Budget>>
{
    const auto need = needOf(customer);
    for (const auto &loan : customer.loansIn) {
        if (loan.endsAt - now > state.config.loanDuration / 2 || now >= loan.endsAt || isRenewed(customer, loan.id)) {
            continue;
        }
        const auto wanted = minBudget(loan.units, subtractBudget(need, subtractBudget(available(customer, now), loan.units)));
        if (wanted.rate > 0 || wanted.concurrency > 0) {
            return std::pair(&loan, wanted);
        }
    }
    return std::nullopt;
}

auto canLend(const LenderHint &hint, const Budget &wanted) -> bool
{
    return (wanted.rate > 0 && hint.spare.rate > 0) || (wanted.concurrency > 0 && hint.spare.concurrency > 0) || (wanted.burst > 0 && hint.spare.burst > 0);
}

auto isPending(const CustomerLending &customer, const base::HostId &host) -> bool
{
    return std::any_of(customer.pending.begin(), customer.pending.end(), [&host](const auto &ask) {
        return ask.lender == host;
    });
}

// Returns a host known to have budget to lend, else one without a recent hint; null if there is neither.
auto chooseLender(const LendingState &state, const CustomerLending &customer, const std::vector<base::HostId> &peers, const Budget &wanted, std::uint64_t seed,
                  absl::Time now) -> const base::HostId *
{
    const auto start = peers.empty() ? 0 : base::mixBits(seed) % peers.size();
    const base::HostId *unknown = nullptr;
    for (auto i = std::size_t{0}; i < peers.size(); ++i) {
        const auto &peer = peers[(start + i) % peers.size()];
        if (peer == state.self || isPending(customer, peer)) {
            continue;
        }
        const auto hint = customer.hints.find(peer);
        const auto fresh = hint != customer.hints.end() && now - hint->second.at < state.config.refusalBackoff;
        if (fresh && canLend(hint->second, wanted)) {
            return &peer;
        }
        if (!fresh && unknown == nullptr) {
            unknown = &peer;
        }
    }
    return unknown;
}

auto findLoan(std::vector<LoanOut> &loans, BudgetRequestId id, base::Incarnation borrower) -> std::vector<LoanOut>::iterator
{
    return std::find_if(loans.begin(), loans.end(), [id, borrower](const auto &loan) {
        return loan.id == id && loan.borrowerIncarnation == borrower;
    });
}

// Returns the loan that a request renews: the one named, or the one that replaced it if that grant never reached the borrower.
auto findRenewed(CustomerLending &customer, const BudgetRequest &request) -> std::vector<LoanOut>::iterator
{
    if (request.renews == BudgetRequestId()) {
        return customer.loansOut.end();
    }
    const auto named = findLoan(customer.loansOut, request.renews, request.borrowerIncarnation);
    if (named != customer.loansOut.end()) {
        return named;
    }
    return std::find_if(customer.loansOut.begin(), customer.loansOut.end(), [&request](const auto &loan) {
        return loan.replaced == request.renews && loan.borrowerIncarnation == request.borrowerIncarnation;
    });
}

auto grantable(CustomerLending &customer, const BudgetRequest &request, std::uint32_t running, absl::Time now) -> Budget
{
    if (now >= customer.own.until) {
        return {};
    }
    auto lent = lentOut(customer, now);
    const auto renewed = findRenewed(customer, request);
    if (renewed != customer.loansOut.end() && now < renewed->rateBackAt) {
        lent = subtractBudget(lent, renewed->units);
    }
    auto need = needOf(customer);
    need.concurrency = std::max(need.concurrency, running);
    return minBudget(request.wanted, subtractBudget(subtractBudget(customer.own.budget, lent), need));
}

// Books the loan; it replaces as many units of the loan that it renews.
auto bookLoan(const LendingState &state, CustomerLending &customer, const BudgetRequest &request, const Budget &granted, absl::Duration duration,
              absl::Time now) -> void
{
    auto end = now + duration + duration * state.config.clockDriftPermille / 1000;
    const auto renewed = findRenewed(customer, request);
    if (renewed != customer.loansOut.end()) {
        end = std::max(end, renewed->rateBackAt);
        renewed->units = subtractBudget(renewed->units, granted);
        if (isEmpty(renewed->units)) {
            customer.loansOut.erase(renewed);
        }
    }
    customer.loansOut.push_back({request.id, request.renews, request.borrowerIncarnation, granted, duration, end, end + customer.maxRequestDuration});
}

template<typename T, typename Predicate>
auto eraseWhere(std::vector<T> &items, Predicate predicate) -> bool
{
    const auto end = std::remove_if(items.begin(), items.end(), predicate);
    const auto changed = end != items.end();
    items.erase(end, items.end());
    return changed;
}

auto expireCustomer(const LendingConfig &config, CustomerLending &customer, absl::Time now) -> bool
{
    auto changed = eraseWhere(customer.loansIn, [now](const auto &loan) {
        return now >= loan.endsAt;
    });
    changed = std::any_of(customer.loansOut.begin(), customer.loansOut.end(),
                          [now](const auto &loan) {
                              return now >= loan.rateBackAt;
                          })
        || changed;
    eraseWhere(customer.loansOut, [now](const auto &loan) {
        return now >= loan.rateBackAt && now >= loan.concurrencyBackAt;
    });
    for (const auto &ask : customer.pending) {
        if (now - ask.askedAt >= config.requestTimeout) {
            customer.hints[ask.lender] = {{}, now};
        }
    }
    eraseWhere(customer.pending, [now, &config](const auto &ask) {
        return now - ask.askedAt >= config.requestTimeout;
    });
    return changed;
}

} // namespace

auto setOwnShare(LendingState &state, const base::CustomerName &customer, const OwnShare &own, const Budget &shared, absl::Duration maxRequestDuration) -> void
{
    auto &entry = state.customers[customer];
    entry.own = own;
    entry.shared = shared;
    entry.maxRequestDuration = maxRequestDuration;
}

auto removeCustomer(LendingState &state, const base::CustomerName &customer) -> void
{
    state.customers.erase(customer);
}

auto recordDemand(LendingState &state, const base::CustomerName &customer, const DemandCounts &counts) -> void
{
    const auto found = state.customers.find(customer);
    const auto over = absl::ToDoubleSeconds(counts.period);
    if (found == state.customers.end() || over <= 0) {
        return;
    }
    auto &demand = found->second.demand;
    const auto fallSeconds = std::clamp(minSampleCount / std::max(demand.rate, minDemand), minDemandSeconds, maxDemandSeconds);
    const auto kept = std::exp(-over / fallSeconds);
    demand.smoothedRate = demand.smoothedRate * std::exp(-over / maxDemandSeconds) + counts.offered / std::max(over, maxDemandSeconds);
    const auto atOnce = counts.offered >= minSampleCount ? counts.offered / over : 0;
    if (demand.rate * kept < demand.smoothedRate && atOnce == 0 && demand.rate * over >= minSampleCount) {
        demand.smoothedRate = demand.rate * kept;
    }
    demand.rate = std::max({demand.smoothedRate, atOnce, demand.rate * kept});
    demand.concurrency = std::max<double>(counts.peakRunning + counts.refusedConcurrency, demand.concurrency * kept);
}

auto scheduleOf(const LendingState &state, const base::CustomerName &customer, absl::Time now) -> BudgetSchedule
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end()) {
        return {};
    }
    const auto &entry = found->second;
    auto ends = std::vector<absl::Time>{entry.own.until};
    for (const auto &loan : entry.loansIn) {
        ends.push_back(loan.endsAt);
    }
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    const auto own = state.config.lowerBeforeLending ? ownLeft(entry, now) : entry.own.budget;
    auto schedule = BudgetSchedule();
    auto from = now;
    for (const auto end : ends) {
        if (end <= now) {
            continue;
        }
        schedule.push_back({end, (from < entry.own.until ? own : Budget()) + borrowedAt(entry, from)});
        from = end;
    }
    return schedule;
}

auto nextBudgetRequest(LendingState &state, const base::CustomerName &customer, const std::vector<base::HostId> &peers, std::uint64_t seed, absl::Time now)
    -> std::optional<AddressedBudgetRequest>
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end() || found->second.pending.size() >= state.config.maxPending) {
        return std::nullopt;
    }
    auto &entry = found->second;
    if (const auto renewed = renewal(state, entry, now)) {
        return addPending(state, entry, customer, renewed->first->lender, renewed->second, renewed->first->id, now);
    }
    const auto wanted = subtractBudget(needOf(entry), available(entry, now) + pendingSum(entry));
    if (isEmpty(wanted)) {
        return std::nullopt;
    }
    const auto *lender = chooseLender(state, entry, peers, wanted, seed, now);
    if (lender == nullptr) {
        return std::nullopt;
    }
    return addPending(state, entry, customer, *lender, wanted, BudgetRequestId(), now);
}

auto answerBudgetRequest(LendingState &state, const BudgetRequest &request, std::uint32_t running, absl::Time now) -> BudgetGrant
{
    auto grant = BudgetGrant{request.id, state.self, state.incarnation, request.borrowerIncarnation, request.customer, {}, {}, {}};
    const auto found = state.customers.find(request.customer);
    if (found == state.customers.end()) {
        return grant;
    }
    auto &entry = found->second;
    const auto booked = findLoan(entry.loansOut, request.id, request.borrowerIncarnation);
    if (booked != entry.loansOut.end()) {
        grant.granted = booked->units;
        grant.duration = booked->duration;
        return grant;
    }
    // A loan may not outlast the own share that it is taken from.
    const auto duration = std::min(state.config.loanDuration, entry.own.until - now);
    grant.granted = grantable(entry, request, running, now);
    if (duration <= absl::ZeroDuration() || isEmpty(grant.granted)) {
        grant.granted = {};
        return grant;
    }
    grant.duration = duration;
    bookLoan(state, entry, request, grant.granted, duration, now);
    grant.spare = spareOf(entry, running, now);
    return grant;
}

auto acceptGrant(LendingState &state, const BudgetGrant &grant, absl::Time now) -> bool
{
    const auto found = state.customers.find(grant.customer);
    if (found == state.customers.end() || grant.borrowerIncarnation != state.incarnation) {
        return false;
    }
    auto &entry = found->second;
    const auto asked = std::find_if(entry.pending.begin(), entry.pending.end(), [&grant](const auto &ask) {
        return ask.id == grant.id && ask.lender == grant.lender;
    });
    if (asked == entry.pending.end()) {
        return false;
    }
    const auto ask = *asked;
    entry.pending.erase(asked);
    entry.hints[grant.lender] = {grant.spare, now};
    const auto endsAt = (state.config.countFromRequest ? ask.askedAt : now) + grant.duration;
    if (isEmpty(grant.granted) || endsAt <= now) {
        return false;
    }
    eraseWhere(entry.loansIn, [&ask](const auto &loan) {
        return ask.renews != BudgetRequestId() && loan.id == ask.renews;
    });
    entry.loansIn.push_back({grant.id, grant.lender, grant.lenderIncarnation, grant.granted, endsAt});
    return true;
}

auto nextReturn(LendingState &state, const base::CustomerName &customer, std::uint32_t running, absl::Time now) -> std::optional<AddressedReturn>
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end()) {
        return std::nullopt;
    }
    auto &entry = found->second;
    auto need = needOf(entry);
    need.concurrency = std::max(need.concurrency, running);
    for (auto loan = entry.loansIn.begin(); loan != entry.loansIn.end(); ++loan) {
        const auto without = subtractBudget(available(entry, now), loan->units);
        if (now >= loan->endsAt || isRenewed(entry, loan->id) || !isEmpty(subtractBudget(need, without))) {
            continue;
        }
        const auto budgetReturn = AddressedReturn{loan->lender, {loan->id, state.incarnation, loan->lenderIncarnation, customer}};
        entry.loansIn.erase(loan);
        return budgetReturn;
    }
    return std::nullopt;
}

auto acceptReturn(LendingState &state, const BudgetReturn &budgetReturn, absl::Time now) -> bool
{
    const auto found = state.customers.find(budgetReturn.customer);
    if (found == state.customers.end() || budgetReturn.lenderIncarnation != state.incarnation) {
        return false;
    }
    auto &loans = found->second.loansOut;
    const auto loan = findLoan(loans, budgetReturn.id, budgetReturn.borrowerIncarnation);
    if (loan == loans.end()) {
        return false;
    }
    const auto ended = now >= loan->rateBackAt;
    loans.erase(loan);
    return !ended;
}

auto expireLoans(LendingState &state, absl::Time now) -> bool
{
    auto changed = false;
    for (auto &[name, customer] : state.customers) {
        changed = expireCustomer(state.config, customer, now) || changed;
    }
    return changed;
}

} // namespace tamarackspan::admission
