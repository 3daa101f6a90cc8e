#include "../tests/fleet.h"

#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::admission;
using namespace tamarackspan::admission::testing;

constexpr auto benchSeed = std::uint64_t{20261204};

struct Scenario
{
    std::string name;
    std::function<void(FleetOptions &)> apply;
};

auto oneHost(FleetOptions &options) -> void
{
    options.load = [](std::size_t index, absl::Duration) {
        return index == 0 ? 100.0 : 0.0;
    };
}

auto moving(FleetOptions &options) -> void
{
    const auto hosts = options.hosts;
    options.load = [hosts](std::size_t index, absl::Duration since) {
        return index == static_cast<std::size_t>(absl::ToDoubleSeconds(since) / 5) % std::min<std::size_t>(hosts, 3) ? 100.0 : 0.0;
    };
}

auto even(FleetOptions &options) -> void
{
    const auto perHost = 100.0 / static_cast<double>(options.hosts);
    options.load = [perHost](std::size_t, absl::Duration) {
        return perHost;
    };
}

// Runs an action once per period, after the warm-up.
auto everyPeriod(absl::Duration warmUp, absl::Duration period, const std::function<void(Fleet &, std::size_t count)> &action)
{
    return [period, action, next = warmUp + period, count = std::size_t{0}](Fleet &fleet, absl::Duration since) mutable {
        if (since >= next) {
            action(fleet, count++);
            next += period;
        }
    };
}

auto scenarios() -> std::vector<Scenario>
{
    return {
        {"even", even},
        {"one host", oneHost},
        {"moving", moving},
        {"moving, cut from platform",
         [](FleetOptions &options) {
             moving(options);
             options.script = everyPeriod(options.warmUp, absl::Seconds(20), [](Fleet &fleet, std::size_t) {
                 fleet.cutFromPlatform(true);
             });
         }},
        {"moving, pauses of 10 s",
         [](FleetOptions &options) {
             moving(options);
             options.script = everyPeriod(options.warmUp, absl::Seconds(40), [](Fleet &fleet, std::size_t count) {
                 fleet.pause(fleet.listed(count % 3), absl::Seconds(10));
             });
         }},
        {"moving, pauses of 3 s",
         [](FleetOptions &options) {
             moving(options);
             options.script = everyPeriod(options.warmUp, absl::Seconds(40), [](Fleet &fleet, std::size_t count) {
                 fleet.pause(fleet.listed(count % 3), absl::Seconds(3));
             });
         }},
        {"moving, a host replaced every 40 s",
         [](FleetOptions &options) {
             moving(options);
             const auto hosts = options.hosts;
             options.script = everyPeriod(options.warmUp, absl::Seconds(40), [hosts](Fleet &fleet, std::size_t count) {
                 fleet.replace(count % hosts, true);
             });
         }},
        {"moving, a host replaced every 10 s",
         [](FleetOptions &options) {
             moving(options);
             const auto hosts = options.hosts;
             options.script = everyPeriod(options.warmUp, absl::Seconds(10), [hosts](Fleet &fleet, std::size_t count) {
                 fleet.replace(count % hosts, true);
             });
         }},
    };
}

auto baseOptions(std::size_t hosts, const Budget &shared) -> FleetOptions
{
    auto options = FleetOptions();
    options.seed = benchSeed;
    options.hosts = hosts;
    options.shared = shared;
    options.warmUp = absl::Seconds(40);
    options.runtime = absl::Seconds(hosts > 100 ? 70 : 240);
    options.maxRequestDuration = absl::Milliseconds(400);
    options.strayCallers = false;
    // Admission is never the bottleneck in this benchmark.
    options.admission.minInFlight = 4096;
    options.admission.initialInFlight = 4096;
    return options;
}

auto percent(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

auto report(const std::string &name, const char *strategy, const FleetOptions &options) -> void
{
    const auto outcome = Fleet(options).run();
    const auto seconds = absl::ToDoubleSeconds(options.runtime - options.warmUp);
    std::printf("%-36s %-16s %9.1f %5llu %10.1f %12.1f %10.2f\n", name.c_str(), strategy, outcome.rateOvershoot,
                static_cast<unsigned long long>(outcome.concurrencyOvershoot), percent(outcome.admitted, outcome.possible),
                percent(outcome.refusedWithRoom, outcome.offered), static_cast<double>(outcome.lendingMessages) / seconds / static_cast<double>(options.hosts));
    std::fflush(stdout);
}

auto compare(std::size_t hosts, const Budget &shared) -> void
{
    std::printf("\n%zu hosts, rate %u/s, burst %u, concurrency %u, seed %llu\n", hosts, shared.rate, shared.burst, shared.concurrency,
                static_cast<unsigned long long>(benchSeed));
    std::printf("%-36s %-16s %9s %5s %10s %12s %10s\n", "load and faults", "way", "rate over", "conc", "admitted %", "room ref'd %", "msg/host/s");
    for (const auto &scenario : scenarios()) {
        // With this many hosts only the load is varied, to keep the run short.
        if (hosts > 100 && scenario.name != "even" && scenario.name != "one host") {
            continue;
        }
        const auto strategies = std::vector<std::pair<const char *, Strategy>>{
            {"static split", Strategy::StaticSplit}, {"single allocator", Strategy::SingleAllocator}, {"lending", Strategy::Lending}};
        for (const auto &[name, strategy] : strategies) {
            auto options = baseOptions(hosts, shared);
            options.strategy = strategy;
            scenario.apply(options);
            report(scenario.name, name, options);
        }
    }
}

auto sweep() -> void
{
    std::printf("\nsweep of the lending interval and the loan's duration: 3 hosts, load moving every 5 s\n");
    for (const auto interval : {50, 100, 200, 500, 1000}) {
        for (const auto loan : {1, 2, 4}) {
            auto options = baseOptions(3, {60, 12, 24});
            moving(options);
            options.lending.interval = absl::Milliseconds(interval);
            options.lending.loanDuration = absl::Seconds(loan);
            report("interval " + std::to_string(interval) + " ms, loan " + std::to_string(loan) + " s", "lending", options);
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto what = std::string(argc > 1 ? argv[1] : "all");
    if (what == "sweep" || what == "all") {
        sweep();
    }
    if (what == "small" || what == "all") {
        compare(3, {60, 12, 24});
        compare(8, {60, 12, 24});
    }
    if (what == "large" || what == "all") {
        compare(525, {40, 40, 40});
    }
    return 0;
}
