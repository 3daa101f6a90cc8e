#pragma once

#include "tamarackspan/admission/demand.h"
#include "tamarackspan/admission/token_bucket.h"
#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/operation.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace tamarackspan::admission {

/// Names one request for admission; given by the caller, unique on its host.
using RequestToken = base::StrongValue<struct RequestTokenTag, std::uint64_t>;

/// One request at the entry.
struct Request
{
    RequestToken token;
    base::CustomerName customer;
    base::OperationName operation;
    contracts::Priority priority = contracts::Priority::Routine;
    /// When its answer must be there.
    absl::Time deadline;

    friend auto operator==(const Request &, const Request &) -> bool = default;
};

/// Why a request wasn't run.
enum class RefusalReason {
    /// The customer has no budget here: no contract, or no part of it in force yet.
    NoBudget,
    /// The customer's rate is used up.
    Rate,
    /// The customer's concurrency is used up.
    Concurrency,
    /// The host is overloaded and the request is of a priority that is shed.
    Overload,
    /// It couldn't end before its deadline.
    Deadline,
};

/// The request may run now; finished() must be called when it has ended.
struct Admitted
{
    friend auto operator==(const Admitted &, const Admitted &) -> bool = default;
};

/// The request waits; finished(), tick() or expire() will name it as started or refused.
struct Queued
{
    friend auto operator==(const Queued &, const Queued &) -> bool = default;
};

/// The request wasn't run and won't be.
struct Refused
{
    RefusalReason reason = RefusalReason::NoBudget;
    /// When another try may go through; zero if nothing is known.
    absl::Duration retryAfter;

    friend auto operator==(const Refused &, const Refused &) -> bool = default;
};

using Decision = std::variant<Admitted, Queued, Refused>;

/// The decision on a request that was queued.
struct LateDecision
{
    RequestToken token;
    /// Admitted or Refused.
    Decision decision;

    friend auto operator==(const LateDecision &, const LateDecision &) -> bool = default;
};

/// How the load of one host is kept within what it can do.
struct AdmissionConfig
{
    /// The limit of requests that run at once on this host, over all customers: where it starts and its bounds.
    std::uint32_t initialInFlight = 64;
    std::uint32_t minInFlight = 4;
    std::uint32_t maxInFlight = 4096;
    /// The most requests that wait.
    std::uint32_t maxQueued = 1024;
    /// Requests may take this many times as long as without load before the limit is lowered.
    double latencyTolerance = 1.5;
    /// False lets requests wait that can't end before their deadline. For tests that show what the check prevents.
    bool checkDeadline = true;
    /// False lets routine requests run before urgent ones that came later. For tests that show what the order brings.
    bool urgentFirst = true;

    friend auto operator==(const AdmissionConfig &, const AdmissionConfig &) -> bool = default;
};

/// How long the requests of one operation take.
struct OperationTimes
{
    base::OperationName operation;
    /// Smoothed, in seconds.
    double typical = 0;
    /// Without load, in seconds.
    double unloaded = 0;

    friend auto operator==(const OperationTimes &, const OperationTimes &) -> bool = default;
};

/// One customer at admission.
struct CustomerAdmission
{
    TokenBucket bucket;
    std::vector<OperationTimes> operations;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t peakRunning = 0;
    std::uint32_t offered = 0;
    std::uint32_t refusedRate = 0;
    std::uint32_t refusedConcurrency = 0;
    absl::Time countedSince = absl::InfinitePast();

    friend auto operator==(const CustomerAdmission &, const CustomerAdmission &) -> bool = default;
};

/// A request that runs.
struct RunningRequest
{
    base::CustomerName customer;
    base::OperationName operation;
    absl::Time startedAt;

    friend auto operator==(const RunningRequest &, const RunningRequest &) -> bool = default;
};

/// The admission of one host. Not synchronised: the caller keeps it behind one mutex.
struct AdmissionState
{
    AdmissionConfig config;
    absl::flat_hash_map<base::CustomerName, CustomerAdmission> customers;
    absl::flat_hash_map<RequestToken, RunningRequest> running;
    std::deque<Request> urgentQueue;
    std::deque<Request> routineQueue;
    /// The limit of requests that run at once, as learned from how long they take.
    double inFlightLimit = 64;
    /// The smoothed time from start to end of a request, in seconds; 0 before the first.
    double serviceSeconds = 0;
    /// Since the limit was last changed: how many requests ended, the sum of how many times as long as without load they took, and the most that ran.
    std::uint32_t sampled = 0;
    double slownessSum = 0;
    std::size_t peakInFlight = 0;
};

/// Returns the state of a host that has admitted nothing yet.
[[nodiscard]] auto makeAdmission(const AdmissionConfig &config) -> AdmissionState;

/// Puts a customer's budget in force from now on. What runs already goes on.
auto setBudget(AdmissionState &state, const base::CustomerName &customer, const BudgetSchedule &budget, absl::Time now) -> void;

/// Forgets a customer; its running requests still end through finished().
auto removeBudget(AdmissionState &state, const base::CustomerName &customer) -> void;

/// Decides on a new request. The budget is checked against the time given, so that one that ran out during a pause holds nothing.
[[nodiscard]] auto offer(AdmissionState &state, const Request &request, absl::Time now) -> Decision;

/// Records the end of an admitted request and returns the queued ones that can now be decided.
[[nodiscard]] auto finished(AdmissionState &state, RequestToken token, absl::Time now) -> std::vector<LateDecision>;

/// Takes a queued request back, such as when its caller has left. Returns false if it isn't queued.
auto withdraw(AdmissionState &state, RequestToken token) -> bool;

/// Starts the queued requests for which there is room. finished() does this as well.
[[nodiscard]] auto tick(AdmissionState &state, absl::Time now) -> std::vector<LateDecision>;

/// Refuses the queued requests that can't end before their deadline any more. To be called every few milliseconds while requests are queued.
[[nodiscard]] auto expire(AdmissionState &state, absl::Time now) -> std::vector<LateDecision>;

/// Returns and resets what a customer needed since the last call.
[[nodiscard]] auto takeDemand(AdmissionState &state, const base::CustomerName &customer, absl::Time now) -> DemandCounts;

} // namespace tamarackspan::admission
