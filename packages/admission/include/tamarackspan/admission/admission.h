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

/// Identifies one request for admission; assigned by the caller, unique on its host.
using RequestToken = base::StrongValue<struct RequestTokenTag, std::uint64_t>;

/// One request that asks for admission.
struct Request
{
    RequestToken token;
    base::CustomerName customer;
    base::OperationName operation;
    contracts::Priority priority = contracts::Priority::Routine;
    /// The time by which it must be answered.
    absl::Time deadline;

    friend auto operator==(const Request &, const Request &) -> bool = default;
};

/// Why a request was not run.
enum class RefusalReason {
    /// The customer has no budget here: no contract, or no share of it in force yet.
    NoBudget,
    /// The customer's rate limit is exhausted.
    Rate,
    /// The customer's concurrency limit is reached.
    Concurrency,
    /// The host is overloaded and the request is of a priority that is shed.
    Overload,
    /// It could not complete before its deadline.
    Deadline,
};

/// The request may run now; finished() must be called when it has ended.
struct Admitted
{
    friend auto operator==(const Admitted &, const Admitted &) -> bool = default;
};

/// The request is queued; finished(), startQueued() or expire() returns its DeferredDecision.
struct Queued
{
    friend auto operator==(const Queued &, const Queued &) -> bool = default;
};

/// The request was not run and will not be.
struct Refused
{
    RefusalReason reason = RefusalReason::NoBudget;
    /// How long to wait before a retry may be admitted; zero if unknown.
    absl::Duration retryAfter;

    friend auto operator==(const Refused &, const Refused &) -> bool = default;
};

using Decision = std::variant<Admitted, Queued, Refused>;

/// The decision on a request that was queued.
struct DeferredDecision
{
    RequestToken token;
    /// Admitted or Refused.
    Decision decision;

    friend auto operator==(const DeferredDecision &, const DeferredDecision &) -> bool = default;
};

/// Settings of overload control on one host.
struct AdmissionConfig
{
    /// Concurrency limit of this host over all customers: initial value and bounds.
    std::uint32_t initialInFlight = 64;
    std::uint32_t minInFlight = 4;
    std::uint32_t maxInFlight = 4096;
    /// Maximum number of queued requests.
    std::uint32_t maxQueued = 1024;
    /// Requests may take this many times their unloaded latency before the concurrency limit is lowered.
    double latencyTolerance = 1.5;
    /// False also queues and runs requests that cannot complete before their deadline. For tests that show what the check prevents.
    bool checkDeadline = true;
    /// False queues urgent requests together with routine ones, in order of arrival. For tests that show what the priority achieves.
    bool urgentFirst = true;

    friend auto operator==(const AdmissionConfig &, const AdmissionConfig &) -> bool = default;
};

/// Latency of the requests of one operation.
struct OperationTimes
{
    base::OperationName operation;
    /// Smoothed, in seconds.
    double typical = 0;
    /// Without load, in seconds.
    double unloaded = 0;

    friend auto operator==(const OperationTimes &, const OperationTimes &) -> bool = default;
};

/// Admission state of one customer.
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

/// A running request.
struct RunningRequest
{
    base::CustomerName customer;
    base::OperationName operation;
    absl::Time startedAt;

    friend auto operator==(const RunningRequest &, const RunningRequest &) -> bool = default;
};

/// Admission state of one host. Not thread-safe: the caller guards it with one mutex.
struct AdmissionState
{
    AdmissionConfig config;
    absl::flat_hash_map<base::CustomerName, CustomerAdmission> customers;
    absl::flat_hash_map<RequestToken, RunningRequest> running;
    std::deque<Request> urgentQueue;
    std::deque<Request> routineQueue;
    /// Concurrency limit over all customers, learned from the latency of requests.
    double inFlightLimit = 64;
    /// Smoothed latency of a request from start to end, in seconds; 0 before the first.
    double serviceSeconds = 0;
    /// Since the limit was last adjusted: number of requests that ended, sum of their latencies as multiples of the unloaded latency, and peak concurrency.
    std::uint32_t sampleCount = 0;
    double slownessSum = 0;
    std::size_t peakInFlight = 0;
};

/// Returns the state of a host that has admitted nothing yet.
[[nodiscard]] auto makeAdmission(const AdmissionConfig &config) -> AdmissionState;

/// Puts a customer's budget into force from now on. Requests that are already running continue.
auto setBudget(AdmissionState &state, const base::CustomerName &customer, const BudgetSchedule &budget, absl::Time now) -> void;

/// Removes a customer's budget; its running requests still end through finished().
auto removeBudget(AdmissionState &state, const base::CustomerName &customer) -> void;

/// Decides on a new request. The budget is evaluated at `now`, so that a budget that expired while the process was paused admits nothing.
[[nodiscard]] auto offer(AdmissionState &state, const Request &request, absl::Time now) -> Decision;

/// Records the end of an admitted request and returns the decisions on queued requests that can now be made.
[[nodiscard]] auto finished(AdmissionState &state, RequestToken token, absl::Time now) -> std::vector<DeferredDecision>;

/// Removes a request from the queue, for example because its caller has disconnected. Returns false if it is not queued.
auto withdraw(AdmissionState &state, RequestToken token) -> bool;

/// Starts queued requests while there is capacity and returns the decisions on them. finished() does this as well.
[[nodiscard]] auto startQueued(AdmissionState &state, absl::Time now) -> std::vector<DeferredDecision>;

/// Refuses queued requests that can no longer complete before their deadline. To be called every few milliseconds while requests are queued.
[[nodiscard]] auto expire(AdmissionState &state, absl::Time now) -> std::vector<DeferredDecision>;

/// Returns the customer's demand since the last call and resets the counts.
[[nodiscard]] auto takeDemand(AdmissionState &state, const base::CustomerName &customer, absl::Time now) -> DemandCounts;

} // namespace tamarackspan::admission
