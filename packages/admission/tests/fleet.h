#pragma once

#include "tamarackspan/admission/admission.h"
#include "tamarackspan/admission/lending.h"
#include "tamarackspan/base/random.h"

#include <functional>
#include <map>
#include <variant>

namespace tamarackspan::admission::testing {

/// How the budget of a data centre is distributed over its hosts.
enum class Strategy {
    StaticSplit,
    SingleAllocator,
    Lending,
};

/// Options of one simulated run of the hosts of a data centre, with one customer, on a virtual clock.
struct FleetOptions
{
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    Budget shared{60, 12, 24};
    absl::Duration runtime = absl::Seconds(120);
    /// Counters start after this time; overshoot is recorded during the whole run.
    absl::Duration warmUp;
    absl::Duration step = absl::Milliseconds(20);
    /// The longest that a request runs.
    absl::Duration maxRequestDuration = absl::Milliseconds(400);
    Strategy strategy = Strategy::Lending;
    membership::RosterConfig roster;
    LendingConfig lending;
    AdmissionConfig admission;
    bool startEmpty = true;
    /// How far the platform's list lags in the simulation.
    absl::Duration platformLag = absl::Seconds(3);
    /// Lost messages in thousandths, and the maximum delay of a message.
    std::uint32_t lossPermille = 0;
    absl::Duration maxDelay = absl::Milliseconds(2);
    /// Chance of each fault per second, in thousandths.
    std::uint32_t pausePermille = 0;
    std::uint32_t replacePermille = 0;
    std::uint32_t restartPermille = 0;
    std::uint32_t cutPermille = 0;
    std::uint32_t splitPermille = 0;
    /// Requests per second sent to the host at an index of the list, at a time since the start.
    std::function<double(std::size_t index, absl::Duration since)> load = [](std::size_t, absl::Duration) {
        return 20.0;
    };
    /// Callers also send to hosts that the platform has removed from the list, and a few requests to all hosts.
    bool strayCallers = true;
    /// Called on each step with the time since the start, to inject events.
    std::function<void(class Fleet &, absl::Duration since)> script;
};

/// Results of a run.
struct FleetOutcome
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    /// Requests that one bucket for the whole data centre would have admitted.
    std::uint64_t possible = 0;
    /// Requests refused although the limits over all hosts had room.
    std::uint64_t refusedWithRoom = 0;
    std::uint64_t lendingMessages = 0;
    /// Maximum number of requests above burst + rate * time over any window, and above the concurrency at any time.
    double rateOvershoot = 0;
    std::uint64_t concurrencyOvershoot = 0;
    /// When either was last seen, since the start.
    absl::Duration lastOvershoot;
};

/// One process on a host.
struct Process
{
    base::HostId id;
    membership::RosterState roster;
    LendingState lending;
    AdmissionState admission;
    bool alive = true;
    absl::Time pausedUntil = absl::InfinitePast();
    absl::Time nextRead;
    absl::Time nextInterval;
    bool cutFromPlatform = false;
    /// Hosts on different sides of a network partition cannot reach each other.
    std::uint32_t side = 0;
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    /// Runs the simulation to its end.
    [[nodiscard]] auto run() -> FleetOutcome;

    auto pause(std::size_t process, absl::Duration duration) -> void;
    /// Publishes a list with a new host in place of the one at an index. If `kill` is false, the old process stays alive although it is no longer listed.
    auto replace(std::size_t index, bool kill) -> void;
    /// Kills a listed host's process and starts another with the same host id.
    auto restart(std::size_t index) -> void;
    auto cutFromPlatform(bool cut) -> void;
    /// Splits the network: assigns each host to a random side and cuts one side off from the platform; joins all hosts again if `sides` is 1.
    auto split(std::uint32_t sides) -> void;
    /// Returns the running process of the host at an index of the published list.
    [[nodiscard]] auto listed(std::size_t index) -> std::size_t;

    std::vector<Process> processes;

private:
    struct ListAsk
    {
        absl::Time askedAt;
    };
    struct ListAnswer
    {
        membership::ListReading reading;
        absl::Duration age;
        absl::Time askedAt;
    };
    using Body = std::variant<ListAsk, ListAnswer, BudgetRequest, BudgetGrant, BudgetReturn>;
    struct Message
    {
        std::size_t from;
        std::size_t to;
        Body body;
    };
    struct Ending
    {
        std::size_t process;
        RequestToken token;
    };
    struct Published
    {
        absl::Time at;
        contracts::HostList list;
    };

    auto startProcess(const base::HostId &id) -> std::size_t;
    auto publish(contracts::HostList list) -> void;
    auto injectFaults() -> void;
    auto send(std::size_t from, std::size_t to, Body body) -> void;
    auto deliver() -> void;
    auto handle(const Message &message) -> void;
    auto readPlatform(std::size_t process) -> void;
    auto askPeers(std::size_t process) -> void;
    auto refresh(Process &process) -> void;
    auto lend(std::size_t process) -> void;
    [[nodiscard]] auto lenders(const Process &process) const -> std::vector<base::HostId>;
    [[nodiscard]] auto processOf(const base::HostId &id) const -> std::size_t;
    auto arrivals() -> void;
    auto offerOne(std::size_t process) -> void;
    auto recordDecision(std::size_t process, RequestToken token, const Decision &decision) -> void;
    auto checkLimits(bool admitted) -> void;
    auto endRequests() -> void;

    FleetOptions options;
    base::Random random;
    absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    absl::Time now = start;
    std::vector<Published> published;
    std::multimap<absl::Time, Message> inFlight;
    std::multimap<absl::Time, Ending> endings;
    /// Requests that ended while their process was paused, so that it has not recorded their end yet.
    std::vector<Ending> unnoticed;
    std::uint64_t hostsStarted = 0;
    std::uint64_t lastToken = 0;
    bool splitNow = false;
    bool changedWhileSplit = false;
    absl::Time quietUntil = absl::InfinitePast();
    TokenBucket referenceBucket;
    TokenBucket idealBucket;
    FleetOutcome outcome;
};

} // namespace tamarackspan::admission::testing
