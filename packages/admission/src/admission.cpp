#include "tamarackspan/admission/admission.h"

#include "adaptive_limit.h"

#include <algorithm>

namespace tamarackspan::admission {

namespace {

// Each refusal for the deadline lowers the operation's expected latency by this factor, so that requests are tried again once the operation has become faster.
constexpr auto refusalDecay = 0.95;
// The fraction of its slack before the deadline that a request may spend queued.
constexpr auto maxWaitFraction = 0.5;

auto operationTimes(CustomerAdmission &customer, const base::OperationName &operation) -> OperationTimes &
{
    for (auto &times : customer.operations) {
        if (times.operation == operation) {
            return times;
        }
    }
    customer.operations.push_back({operation, 0, 0});
    return customer.operations.back();
}

auto typicalTime(const CustomerAdmission &customer, const base::OperationName &operation) -> absl::Duration
{
    for (const auto &times : customer.operations) {
        if (times.operation == operation) {
            return absl::Seconds(times.typical);
        }
    }
    return absl::ZeroDuration();
}

// True if the request cannot complete before its deadline, assuming the latency of a slow request of its operation.
auto missesDeadline(const AdmissionState &state, CustomerAdmission &customer, const Request &request, absl::Time now) -> bool
{
    const auto slowTime = typicalTime(customer, request.operation) * state.config.latencyTolerance;
    if (!state.config.checkDeadline || now + slowTime <= request.deadline) {
        return false;
    }
    operationTimes(customer, request.operation).typical *= refusalDecay;
    return true;
}

auto queueOf(AdmissionState &state, contracts::Priority priority) -> std::deque<Request> &
{
    return priority == contracts::Priority::Urgent && state.config.urgentFirst ? state.urgentQueue : state.routineQueue;
}

auto hasRoom(const AdmissionState &state) -> bool
{
    return static_cast<double>(state.running.size()) + 1 <= state.inFlightLimit;
}

// Expected time until the requests queued ahead have made room for one more.
auto expectedWait(const AdmissionState &state, contracts::Priority priority) -> absl::Duration
{
    const auto routineFirst = priority == contracts::Priority::Routine || !state.config.urgentFirst;
    const auto ahead = state.urgentQueue.size() + (routineFirst ? state.routineQueue.size() : 0);
    return absl::Seconds(static_cast<double>(ahead + 1) * state.serviceSeconds / state.inFlightLimit);
}

auto start(AdmissionState &state, CustomerAdmission &customer, const Request &request, absl::Time now) -> void
{
    state.running.insert_or_assign(request.token, RunningRequest{request.customer, request.operation, now});
    state.peakInFlight = std::max(state.peakInFlight, state.running.size());
    ++customer.running;
    customer.peakRunning = std::max(customer.peakRunning, customer.running);
}

auto refuseRate(CustomerAdmission &customer, absl::Time now) -> Decision
{
    ++customer.refusedRate;
    const auto wait = timeToToken(customer.bucket, now);
    return Refused{RefusalReason::Rate, wait == absl::InfiniteDuration() ? absl::ZeroDuration() : wait};
}

auto refuseConcurrency(const AdmissionState &state, CustomerAdmission &customer) -> Decision
{
    ++customer.refusedConcurrency;
    return Refused{RefusalReason::Concurrency, absl::Seconds(state.serviceSeconds)};
}

// Starts a request if its customer's budget allows it now.
auto startWithinBudget(AdmissionState &state, CustomerAdmission &customer, const Request &request, absl::Time now) -> Decision
{
    const auto budget = budgetAt(customer.bucket.schedule, now);
    if (isEmpty(budget)) {
        ++customer.refusedRate;
        return Refused{RefusalReason::NoBudget, absl::ZeroDuration()};
    }
    if (customer.running >= budget.concurrency) {
        return refuseConcurrency(state, customer);
    }
    if (!takeToken(customer.bucket, now)) {
        return refuseRate(customer, now);
    }
    start(state, customer, request, now);
    return Admitted{};
}

auto enqueue(AdmissionState &state, CustomerAdmission &customer, const Request &request, absl::Time now) -> Decision
{
    const auto budget = budgetAt(customer.bucket.schedule, now);
    refill(customer.bucket, now);
    if (isEmpty(budget)) {
        ++customer.refusedRate;
        return Refused{RefusalReason::NoBudget, absl::ZeroDuration()};
    }
    if (customer.running + customer.queued >= budget.concurrency) {
        return refuseConcurrency(state, customer);
    }
    if (customer.bucket.tokens < customer.queued + 1) {
        return refuseRate(customer, now);
    }
    const auto wait = expectedWait(state, request.priority);
    const auto slack = request.deadline - now - typicalTime(customer, request.operation);
    if (state.urgentQueue.size() + state.routineQueue.size() >= state.config.maxQueued || (state.config.checkDeadline && wait > slack * maxWaitFraction)) {
        return Refused{RefusalReason::Overload, wait};
    }
    ++customer.queued;
    queueOf(state, request.priority).push_back(request);
    return Queued{};
}

// Decides on a request that was taken from its queue.
auto decideQueued(AdmissionState &state, const Request &request, absl::Time now) -> Decision
{
    const auto found = state.customers.find(request.customer);
    if (found == state.customers.end()) {
        return Refused{RefusalReason::NoBudget, absl::ZeroDuration()};
    }
    --found->second.queued;
    if (missesDeadline(state, found->second, request, now)) {
        return Refused{RefusalReason::Deadline, absl::ZeroDuration()};
    }
    return startWithinBudget(state, found->second, request, now);
}

auto serveQueue(AdmissionState &state, std::deque<Request> &queue, std::vector<DeferredDecision> &decisions, absl::Time now) -> void
{
    while (!queue.empty() && hasRoom(state)) {
        const auto request = queue.front();
        queue.pop_front();
        decisions.push_back({request.token, decideQueued(state, request, now)});
    }
}

auto refuseUnmeetable(AdmissionState &state, std::deque<Request> &queue, std::vector<DeferredDecision> &decisions, absl::Time now) -> void
{
    auto kept = std::deque<Request>();
    for (auto &request : queue) {
        const auto found = state.customers.find(request.customer);
        const auto needed = found == state.customers.end() ? absl::ZeroDuration() : typicalTime(found->second, request.operation);
        if (now + needed <= request.deadline) {
            kept.push_back(std::move(request));
            continue;
        }
        if (found != state.customers.end()) {
            --found->second.queued;
        }
        decisions.push_back({request.token, Refused{RefusalReason::Deadline, absl::ZeroDuration()}});
    }
    queue.swap(kept);
}

auto withdrawFrom(AdmissionState &state, std::deque<Request> &queue, RequestToken token) -> bool
{
    const auto found = std::find_if(queue.begin(), queue.end(), [token](const auto &request) {
        return request.token == token;
    });
    if (found == queue.end()) {
        return false;
    }
    const auto customer = state.customers.find(found->customer);
    if (customer != state.customers.end()) {
        --customer->second.queued;
    }
    queue.erase(found);
    return true;
}

} // namespace

auto makeAdmission(const AdmissionConfig &config) -> AdmissionState
{
    auto state = AdmissionState();
    state.config = config;
    state.inFlightLimit = config.initialInFlight;
    return state;
}

auto setBudget(AdmissionState &state, const base::CustomerName &customer, const BudgetSchedule &budget, absl::Time now) -> void
{
    auto &entry = state.customers[customer];
    setSchedule(entry.bucket, budget, now);
    if (entry.countedSince == absl::InfinitePast()) {
        entry.countedSince = now;
    }
}

auto removeBudget(AdmissionState &state, const base::CustomerName &customer) -> void
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end()) {
        return;
    }
    // The entry counts the requests that are still running; without a schedule it admits nothing.
    found->second.bucket = TokenBucket();
    if (found->second.running == 0 && found->second.queued == 0) {
        state.customers.erase(found);
    }
}

auto offer(AdmissionState &state, const Request &request, absl::Time now) -> Decision
{
    const auto found = state.customers.find(request.customer);
    if (found == state.customers.end()) {
        return Refused{RefusalReason::NoBudget, absl::ZeroDuration()};
    }
    auto &customer = found->second;
    ++customer.offered;
    if (missesDeadline(state, customer, request, now)) {
        return Refused{RefusalReason::Deadline, absl::ZeroDuration()};
    }
    const auto firstInLine = state.urgentQueue.empty() && (request.priority == contracts::Priority::Urgent || state.routineQueue.empty());
    if (hasRoom(state) && firstInLine) {
        return startWithinBudget(state, customer, request, now);
    }
    return enqueue(state, customer, request, now);
}

auto finished(AdmissionState &state, RequestToken token, absl::Time now) -> std::vector<DeferredDecision>
{
    const auto request = state.running.find(token);
    if (request == state.running.end()) {
        return {};
    }
    const auto customer = state.customers.find(request->second.customer);
    if (customer != state.customers.end()) {
        --customer->second.running;
        impl::learnFromCompletion(state, operationTimes(customer->second, request->second.operation), now - request->second.startedAt);
    }
    state.running.erase(request);
    return startQueued(state, now);
}

auto withdraw(AdmissionState &state, RequestToken token) -> bool
{
    return withdrawFrom(state, state.urgentQueue, token) || withdrawFrom(state, state.routineQueue, token);
}

auto startQueued(AdmissionState &state, absl::Time now) -> std::vector<DeferredDecision>
{
    auto decisions = std::vector<DeferredDecision>();
    serveQueue(state, state.urgentQueue, decisions, now);
    serveQueue(state, state.routineQueue, decisions, now);
    return decisions;
}

auto expire(AdmissionState &state, absl::Time now) -> std::vector<DeferredDecision>
{
    auto decisions = std::vector<DeferredDecision>();
    if (state.config.checkDeadline) {
        refuseUnmeetable(state, state.urgentQueue, decisions, now);
        refuseUnmeetable(state, state.routineQueue, decisions, now);
    }
    return decisions;
}

auto takeDemand(AdmissionState &state, const base::CustomerName &customer, absl::Time now) -> DemandCounts
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end()) {
        return {};
    }
    auto &entry = found->second;
    const auto counts = DemandCounts{entry.offered, entry.peakRunning, entry.refusedRate, entry.refusedConcurrency, now - entry.countedSince};
    entry.offered = 0;
    entry.peakRunning = entry.running;
    entry.refusedRate = 0;
    entry.refusedConcurrency = 0;
    entry.countedSince = now;
    return counts;
}

} // namespace tamarackspan::admission
