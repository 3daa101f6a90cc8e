#include "tamarackspan/admission/admission.h"
#include "tamarackspan/base/random.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::admission;

constexpr auto benchSeed = std::uint64_t{20261204};
constexpr auto servers = std::size_t{20};
constexpr auto serviceSeconds = 0.020;
constexpr auto capacity = static_cast<double>(servers) / serviceSeconds;
constexpr auto urgentPart = 0.2;
const auto deadline = absl::Milliseconds(200);

/// Load shedding strategy.
enum class Shedding {
    /// No load is shed and the host's limit is out of reach.
    None,
    /// Routine requests are blocked while an alert is on and admitted again step by step.
    ThrottleOnAlert,
    /// The concurrency limit is learned from the latency of requests.
    AdaptiveLimit,
};

struct Source
{
    base::CustomerName customer;
    double perSecond = 0;
};

/// Blocks routine requests while latency is high, then admits a growing fraction of them.
struct Throttle
{
    double admittedPart = 1;
    double slowest = 0;
    absl::Time nextCheck = absl::InfinitePast();
};

struct Counts
{
    std::uint64_t good = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::vector<double> milliseconds;
};

struct Pending
{
    Request request;
    absl::Time arrivedAt;
};

/// A simulation of k servers with one FIFO queue behind the real admission.
class Run
{
public:
    Run(Shedding givenShedding, std::vector<Source> givenSources)
        : shedding(givenShedding),
          sources(std::move(givenSources))
    {
        auto config = AdmissionConfig();
        if (this->shedding != Shedding::AdaptiveLimit) {
            config.initialInFlight = 100000;
            config.minInFlight = 100000;
            config.maxInFlight = 100000;
        }
        config.checkDeadline = this->shedding == Shedding::AdaptiveLimit;
        this->state = makeAdmission(config);
    }

    auto run(const Budget &budget, absl::Duration warmUp, absl::Duration runtime) -> void
    {
        for (const auto &source : this->sources) {
            setBudget(this->state, source.customer, {{absl::InfiniteFuture(), budget}}, this->now);
        }
        const auto start = this->now;
        while (this->now < start + runtime) {
            this->now += absl::Microseconds(200);
            this->counting = this->now >= start + warmUp;
            this->endServices();
            this->arrive();
            this->decideLate(expire(this->state, this->now));
        }
    }

    std::map<std::pair<base::CustomerName, contracts::Priority>, Counts> counts;

private:
    auto arrive() -> void
    {
        for (const auto &source : this->sources) {
            if (this->random.unit() < source.perSecond * 0.0002) {
                const auto priority = this->random.unit() < urgentPart ? contracts::Priority::Urgent : contracts::Priority::Routine;
                this->offerOne({RequestToken(++this->lastToken), source.customer, base::OperationName("lookup"), priority, this->now + deadline});
            }
        }
    }

    auto offerOne(const Request &request) -> void
    {
        this->pending[request.token] = {request, this->now};
        if (this->throttled(request)) {
            this->end(request.token, false);
            return;
        }
        this->apply(request.token, offer(this->state, request, this->now));
    }

    auto throttled(const Request &request) -> bool
    {
        if (this->shedding != Shedding::ThrottleOnAlert) {
            return false;
        }
        if (this->now >= this->throttle.nextCheck) {
            // The alert fires when a request took more than half its deadline; afterwards another tenth is admitted at each check.
            const auto alert = this->throttle.slowest > absl::ToDoubleSeconds(deadline) / 2;
            this->throttle.admittedPart = alert ? 0 : std::min(1.0, this->throttle.admittedPart + 0.1);
            this->throttle.slowest = 0;
            this->throttle.nextCheck = this->now + absl::Milliseconds(100);
        }
        return request.priority == contracts::Priority::Routine && this->random.unit() >= this->throttle.admittedPart;
    }

    auto apply(RequestToken token, const Decision &decision) -> void
    {
        if (std::holds_alternative<Admitted>(decision)) {
            this->waiting.push(token);
            this->startServices();
        } else if (std::holds_alternative<Refused>(decision)) {
            this->end(token, false);
        }
    }

    auto decideLate(const std::vector<DeferredDecision> &decisions) -> void
    {
        for (const auto &late : decisions) {
            this->apply(late.token, late.decision);
        }
    }

    auto startServices() -> void
    {
        while (this->serving.size() < servers && !this->waiting.empty()) {
            this->serving.emplace(this->now + absl::Seconds(serviceSeconds * (0.5 + this->random.unit())), this->waiting.front());
            this->waiting.pop();
        }
    }

    auto endServices() -> void
    {
        while (!this->serving.empty() && this->serving.begin()->first <= this->now) {
            const auto token = this->serving.begin()->second;
            this->serving.erase(this->serving.begin());
            this->end(token, true);
            this->decideLate(finished(this->state, token, this->now));
            this->startServices();
        }
    }

    auto end(RequestToken token, bool served) -> void
    {
        const auto found = this->pending.find(token);
        const auto took = absl::ToDoubleSeconds(this->now - found->second.arrivedAt);
        auto &entry = this->counts[{found->second.request.customer, found->second.request.priority}];
        const auto inTime = this->now <= found->second.request.deadline;
        if (served) {
            this->throttle.slowest = std::max(this->throttle.slowest, took);
        }
        if (this->counting) {
            entry.refused += served ? 0 : 1;
            entry.good += served && inTime ? 1 : 0;
            entry.late += served && !inTime ? 1 : 0;
            if (served) {
                entry.milliseconds.push_back(took * 1000);
            }
        }
        this->pending.erase(found);
    }

    Shedding shedding;
    std::vector<Source> sources;
    AdmissionState state;
    Throttle throttle;
    base::Random random{benchSeed};
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    bool counting = false;
    std::uint64_t lastToken = 0;
    std::map<RequestToken, Pending> pending;
    std::queue<RequestToken> waiting;
    std::multimap<absl::Time, RequestToken> serving;
};

auto percentile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

auto saturation(Shedding shedding, const char *name) -> void
{
    const auto customer = base::CustomerName("one");
    for (const auto load : {0.5, 1.0, 1.5, 2.0, 3.0}) {
        auto run = Run(shedding, {{customer, load * capacity}});
        run.run({1000000, 1000000, 1000000}, absl::Seconds(5), absl::Seconds(35));
        const auto &urgent = run.counts[{customer, contracts::Priority::Urgent}];
        const auto &routine = run.counts[{customer, contracts::Priority::Routine}];
        std::printf("%-18s %5.1f %10.3f %10.1f %10.1f %8llu %10llu %10llu\n", name, load, static_cast<double>(urgent.good + routine.good) / 30 / capacity,
                    percentile(urgent.milliseconds, 0.99), percentile(routine.milliseconds, 0.99),
                    static_cast<unsigned long long>(urgent.refused) + urgent.late, static_cast<unsigned long long>(routine.refused),
                    static_cast<unsigned long long>(routine.late));
    }
}

auto neighbour() -> void
{
    const auto quiet = base::CustomerName("quiet");
    const auto noisy = base::CustomerName("noisy");
    const auto contract = Budget{200, 20, 40};
    std::printf("\ncontract of each: rate %u/s, burst %u, concurrency %u; quiet at 100/s; capacity %.0f/s\n", contract.rate, contract.burst,
                contract.concurrency, capacity);
    std::printf("%-28s %12s %12s\n", "noisy neighbour at", "quiet p99 ms", "quiet refused");
    for (const auto times : {0.5, 1.0, 10.0}) {
        auto run = Run(Shedding::AdaptiveLimit, {{quiet, 100}, {noisy, contract.rate * times}});
        run.run(contract, absl::Seconds(5), absl::Seconds(125));
        auto all = run.counts[{quiet, contracts::Priority::Urgent}];
        const auto &routine = run.counts[{quiet, contracts::Priority::Routine}];
        all.milliseconds.insert(all.milliseconds.end(), routine.milliseconds.begin(), routine.milliseconds.end());
        std::printf("%4.1f times its contract      %12.2f %12llu\n", times, percentile(all.milliseconds, 0.99),
                    static_cast<unsigned long long>(all.refused) + routine.refused);
    }
}

} // namespace

auto main() -> int
{
    std::printf("%zu servers, %.0f ms each, capacity %.0f/s, a fifth urgent, deadline 200 ms, seed %llu\n", servers, serviceSeconds * 1000, capacity,
                static_cast<unsigned long long>(benchSeed));
    std::printf("%-18s %5s %10s %10s %10s %8s %10s %10s\n", "way", "load", "goodput", "urg p99", "rout p99", "urg lost", "rout ref'd", "rout late");
    saturation(Shedding::None, "none");
    saturation(Shedding::ThrottleOnAlert, "throttle on alert");
    saturation(Shedding::AdaptiveLimit, "adaptive limit");
    neighbour();
    return 0;
}
