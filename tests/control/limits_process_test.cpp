#include "control_fleet.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/testkit/load_driver.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <thread>

namespace tamarackspan::control_tests {
namespace {

constexpr auto seed = std::uint64_t{20261204};
constexpr auto meanMicros = std::uint32_t{50'000};
/// A customer that is limited by its rate.
const auto rated = ContractText{.customer = "rated", .rate = 60, .burst = 12, .concurrency = 60};
/// A customer that is limited by its concurrency: a request runs for 50 ms, so that 6 at once are 120 a second.
const auto crowded = ContractText{.customer = "crowded", .rate = 1000, .burst = 200, .concurrency = 6};

/// A request that was admitted between these two times.
struct Admitted
{
    absl::Time started;
    absl::Time ended;
};

/// Sends the requests of one customer on a separate thread.
class Load
{
public:
    Load(const ControlFleet &control, const std::string &customer, const std::vector<std::size_t> &hosts, absl::Duration duration, double rate = 400)
        : thread([this, options = optionsOf(control, customer, hosts, duration, rate)] {
              testkit::driveLoad(options,
                                 {[this](const testkit::CallRecord &call) {
                                      this->calls.push_back(call);
                                  },
                                  [](const testkit::LoadProgress &) {}});
          })
    {
    }

    /// Waits for the end of the load and returns all calls.
    auto join() -> std::vector<testkit::CallRecord>
    {
        this->thread.join();
        return std::move(this->calls);
    }

private:
    static auto optionsOf(const ControlFleet &control, const std::string &customer, const std::vector<std::size_t> &hosts, absl::Duration duration, double rate)
        -> testkit::LoadOptions
    {
        auto options = testkit::LoadOptions();
        for (const auto host : hosts) {
            options.addresses.push_back(control.fleet.addresses(host).caller);
        }
        options.mix = {{.customer = customer, .operation = "read"}};
        options.rate = rate;
        options.inFlight = 60;
        options.duration = duration;
        options.timeout = absl::Seconds(3);
        options.seed = seed;
        options.caller = customer;
        return options;
    }

    std::vector<testkit::CallRecord> calls;
    std::thread thread;
};

/// Prints the number of calls for each outcome.
auto printOutcomes(const std::vector<testkit::CallRecord> &calls) -> void
{
    auto counts = std::map<std::string, int>();
    for (const auto &call : calls) {
        ++counts[call.reason.empty() ? "answer" : call.reason];
    }
    for (const auto &[reason, count] : counts) {
        std::cout << reason << ": " << count << "\n";
    }
}

auto append(std::vector<testkit::CallRecord> &calls, std::vector<testkit::CallRecord> more) -> void
{
    calls.insert(calls.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

/// Returns the calls that the limits admitted: those answered, and those that failed after admission, for example because the host that owns the leaf is dead.
auto admittedOf(const std::vector<testkit::CallRecord> &calls) -> std::vector<Admitted>
{
    auto admitted = std::vector<Admitted>();
    for (const auto &call : calls) {
        if (call.status == 200 || call.reason == "no-shard-answered") {
            admitted.push_back({call.started, call.ended});
        }
    }
    return admitted;
}

/// Returns the largest excess over burst + rate * window in any window. A request counts in a window only if it began and ended within it, so that requests
/// admitted outside are never counted at its edges.
auto worstExcess(const std::vector<Admitted> &admitted, const ContractText &contract) -> double
{
    auto byEnd = admitted;
    std::sort(byEnd.begin(), byEnd.end(), [](const auto &a, const auto &b) {
        return a.ended < b.ended;
    });
    auto worst = -1.0 * contract.burst;
    for (const auto &first : admitted) {
        auto count = 0.0;
        for (const auto &call : byEnd) {
            if (call.started >= first.started) {
                count += 1;
                worst = std::max(worst, count - contract.burst - contract.rate * absl::ToDoubleSeconds(call.ended - first.started));
            }
        }
    }
    return worst;
}

/// Returns the highest number of requests of a customer that leafs ran concurrently.
auto maxConcurrent(const std::vector<nlohmann::json> &history, const std::string &customer) -> int
{
    auto steps = std::vector<std::pair<std::int64_t, int>>();
    for (const auto &record : history) {
        if (record.value("type", "") == "leaf" && record.value("customer", "") == customer && record.value("ran", false)) {
            steps.emplace_back(record["started"].get<std::int64_t>(), 1);
            steps.emplace_back(record["ended"].get<std::int64_t>(), -1);
        }
    }
    std::sort(steps.begin(), steps.end());
    auto running = 0;
    auto peak = 0;
    for (const auto &[when, step] : steps) {
        running += step;
        peak = std::max(peak, running);
    }
    return peak;
}

auto start(ControlFleet &control) -> void
{
    control.publishService(meanMicros);
    control.publishContract(rated);
    control.publishContract(crowded);
    const auto status = control.fleet.startAll(readyTimeout);
    ASSERT_TRUE(status.ok()) << status;
}

auto expectWithinContracts(const ControlFleet &control, const std::vector<testkit::CallRecord> &calls) -> void
{
    const auto admitted = admittedOf(calls);
    const auto excess = worstExcess(admitted, rated);
    const auto history = control.fleet.leafHistory();
    const auto running = maxConcurrent(history, "crowded");
    std::cout << "admitted " << admitted.size() << " of " << calls.size() << ", worst excess " << excess << ", most concurrent " << running << "\n";
    printOutcomes(calls);
    EXPECT_GT(admitted.size(), 100U);
    EXPECT_LE(excess, 0);
    EXPECT_LE(running, static_cast<int>(crowded.concurrency));
    EXPECT_GE(running, 2);
}

TEST(LimitsProcess, OverloadThroughOneHostThroughAllAndMovingStaysWithinTheContract)
{
    auto control = ControlFleet(3);
    start(control);
    auto crowd = Load(control, "crowded", {0, 1, 2}, absl::Seconds(10), 200);
    constexpr auto phase = absl::Seconds(4);
    auto one = Load(control, "rated", {0}, phase).join();
    const auto seconds = absl::ToDoubleSeconds(phase);
    const auto used = static_cast<double>(admittedOf(one).size()) / (rated.rate * seconds + rated.burst);
    std::cout << "through one of three hosts: " << 100 * used << "% of the contract\n";
    // A static split would allow a third.
    EXPECT_GT(used, 0.5);
    auto calls = std::move(one);
    append(calls, Load(control, "rated", {0, 1, 2}, phase).join());
    for (const auto host : {1U, 2U, 0U, 1U}) {
        append(calls, Load(control, "rated", {host}, absl::Seconds(1)).join());
    }
    (void)crowd.join();
    expectWithinContracts(control, calls);
}

TEST(LimitsProcess, PausedKilledAndCutOffHostsStayWithinTheContract)
{
    auto control = ControlFleet(3);
    start(control);
    auto load = Load(control, "rated", {0, 1, 2}, absl::Seconds(14), 200);
    auto crowd = Load(control, "crowded", {0, 1, 2}, absl::Seconds(14), 150);
    absl::SleepFor(absl::Seconds(1));
    // Longer than its lease and than any loan.
    control.fleet.process(0).signal(SIGSTOP);
    absl::SleepFor(absl::Seconds(2.5));
    control.fleet.process(0).signal(SIGCONT);
    absl::SleepFor(absl::Seconds(1));
    control.cutFromPlatform(1, true);
    absl::SleepFor(absl::Seconds(2));
    control.fleet.process(2).kill();
    control.fleet.startHost(2);
    absl::SleepFor(absl::Seconds(2));
    control.cutFromPlatform(1, false);
    const auto calls = load.join();
    (void)crowd.join();
    expectWithinContracts(control, calls);
}

TEST(LimitsProcess, DataCentreCutOffFromThePlatformGoesOnServing)
{
    auto control = ControlFleet(3);
    start(control);
    for (auto host = std::size_t{0}; host < 3; ++host) {
        control.cutFromPlatform(host, true);
    }
    // Much longer than a lease.
    absl::SleepFor(absl::Seconds(4));
    const auto calls = Load(control, "rated", {0, 1, 2}, absl::Seconds(4), 200).join();
    const auto admitted = admittedOf(calls);
    const auto excess = worstExcess(admitted, rated);
    std::cout << "cut off: admitted " << admitted.size() << " of " << calls.size() << ", worst excess " << excess << "\n";
    EXPECT_GT(admitted.size(), 4U * rated.rate / 2);
    EXPECT_LE(excess, 0);
}

TEST(LimitsProcess, OneOfTwoHostsServesItsShareAndStopsWhenItIsCutOffFromThePlatformToo)
{
    auto control = ControlFleet(2);
    start(control);
    control.fleet.process(1).kill();
    absl::SleepFor(absl::Seconds(3));
    const auto aloneCalls = Load(control, "rated", {0}, absl::Seconds(3), 200).join();
    printOutcomes(aloneCalls);
    const auto alone = admittedOf(aloneCalls);
    control.cutFromPlatform(0, true);
    absl::SleepFor(absl::Seconds(3));
    const auto calls = Load(control, "rated", {0}, absl::Seconds(2), 100).join();
    std::cout << "one of two hosts: admitted " << alone.size() << " in 3 s, after it was cut off from the platform: " << admittedOf(calls).size() << "\n";
    EXPECT_GT(alone.size(), 60U);
    // The host's share: half the rate and half the burst.
    EXPECT_LE(worstExcess(alone, {.customer = "rated", .rate = rated.rate / 2, .burst = rated.burst / 2}), 0);
    EXPECT_EQ(admittedOf(calls).size(), 0U);
}

} // namespace
} // namespace tamarackspan::control_tests
