#include "fleet.h"

#include "absl/strings/str_format.h"

#include <iostream>
#include <string_view>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::query;
using namespace tamarackspan::query::bench;

/// Round robin, waiting for all shards, without hedges, retries and restarts.
auto naive() -> Step
{
    auto step = Step{"naive", {}, {}, {}};
    step.query.hedge = false;
    step.query.retry = false;
    step.query.restart = false;
    step.routing.choice = routing::ReplicaChoice::RoundRobin;
    step.routing.ejectAfterFailures = 0;
    step.routing.ejectAfterOverdue = 0;
    step.routing.slowStart = absl::ZeroDuration();
    step.queue.shedEarly = false;
    return step;
}

/// The baseline and the steps from it to the complete policy, with one change each.
auto steps() -> std::vector<Step>
{
    auto all = std::vector{naive()};
    const auto add = [&all](std::string name, auto change) {
        auto step = all.back();
        step.name = std::move(name);
        change(step);
        all.push_back(std::move(step));
    };
    add("+two choices", [](Step &step) {
        step.routing.choice = routing::ReplicaChoice::TwoChoices;
    });
    add("+owner choice", [](Step &step) {
        step.ownerChoice = OwnerChoice::LeastInFlight;
    });
    add("+shed early", [](Step &step) {
        step.queue.shedEarly = true;
    });
    add("+retry", [](Step &step) {
        step.query.retry = true;
    });
    add("+hedge", [](Step &step) {
        step.query.hedge = true;
    });
    add("+ejection", [](Step &step) {
        step.routing.ejectAfterFailures = routing::RoutingPolicy{}.ejectAfterFailures;
        step.routing.ejectAfterOverdue = routing::RoutingPolicy{}.ejectAfterOverdue;
    });
    add("+slow start", [](Step &step) {
        step.routing.slowStart = routing::RoutingPolicy{}.slowStart;
    });
    add("+gate", [](Step &step) {
        step.gate = true;
    });
    return all;
}

auto shapes() -> std::vector<Scenario>
{
    return {
        {"20 shards x 2 replicas, 2 slots", 20, 2, 2, false},
        {"13 leafs, 3 slots, 2 shards each", 13, 2, 3, true},
        {"79 shards x 2 replicas, 2 slots", 79, 2, 2, false},
    };
}

auto printHead() -> void
{
    std::cout << absl::StrFormat("%-14s %7s %7s %8s %8s %9s %8s %9s %9s %7s %8s\n", "policy", "queries", "p50 ms", "p99 ms", "p99.9 ms", "coverage", "whole",
                                 "urg. p99", "urg. whole", "extra", "good/s");
}

auto print(std::string_view name, const Outcome &outcome) -> void
{
    std::cout << absl::StrFormat("%-14s %7d %7.1f %8.1f %8.1f %8.3f%% %7.2f%% %9.1f %9.2f%% %6.2f%% %8.1f\n", name, outcome.queries, outcome.p50, outcome.p99,
                                 outcome.p999, 100 * outcome.coverage, 100 * outcome.whole, outcome.urgentP99, 100 * outcome.urgentWhole, 100 * outcome.extra,
                                 outcome.goodput)
              << std::flush;
}

auto title(const Scenario &scenario, std::string_view what) -> void
{
    std::cout << absl::StrFormat("\n%s; %s; load %.2f, deadline %s, %s, seed %d\n", scenario.name, what, scenario.load, absl::FormatDuration(scenario.deadline),
                                 absl::FormatDuration(scenario.length), scenario.seed);
    printHead();
}

/// A fault with its name.
struct NamedFault
{
    Fault fault = Fault::None;
    std::string_view name;
};

constexpr auto faults = std::array{
    NamedFault{Fault::None, "no fault"},
    NamedFault{Fault::SlowLeaf, "one leaf 10 times slower"},
    NamedFault{Fault::RandomStragglers, "1% of requests 10 times slower"},
    NamedFault{Fault::SilentConnection, "a quarter of one leaf's connections silent"},
    NamedFault{Fault::LostReplica, "one leaf lost"},
    NamedFault{Fault::ColdLeaf, "one leaf cold"},
    NamedFault{Fault::FailingLeaf, "one leaf fails but reports itself healthy"},
};

auto runFaults() -> void
{
    for (auto scenario : shapes()) {
        scenario.length = absl::Seconds(12);
        for (const auto &fault : faults) {
            scenario.fault = fault.fault;
            title(scenario, fault.name);
            for (const auto &step : steps()) {
                print(step.name, simulate(scenario, step));
            }
        }
    }
}

auto runLoad() -> void
{
    for (auto scenario : {shapes()[0], shapes()[1]}) {
        scenario.length = absl::Seconds(12);
        scenario.belowFloor = contracts::BelowFloor::Refuse;
        for (const auto load : {0.5, 1.0, 1.5, 2.0, 3.0}) {
            scenario.load = load;
            title(scenario, "30% urgent, incomplete answers refused");
            print("naive", simulate(scenario, steps().front()));
            print("+shed early", simulate(scenario, steps()[3]));
            auto ungated = steps().back();
            ungated.gate = false;
            print("all but gate", simulate(scenario, ungated));
            print("whole policy", simulate(scenario, steps().back()));
        }
    }
}

auto runOwners() -> void
{
    for (const auto load : {0.2, 0.4}) {
        auto scenario = shapes()[0];
        scenario.load = load;
        scenario.length = absl::Seconds(12);
        for (const auto &fault : faults) {
            scenario.fault = fault.fault;
            title(scenario, fault.name);
            auto step = steps().back();
            step.ownerChoice = OwnerChoice::Draw;
            print("2, draw", simulate(scenario, step));
            step.ownerChoice = OwnerChoice::LeastInFlight;
            print("2, in flight", simulate(scenario, step));
            step.ownersPerLeaf = 1;
            print("1 owner", simulate(scenario, step));
        }
    }
}

auto runSweep() -> void
{
    auto scenario = shapes()[0];
    scenario.length = absl::Seconds(12);
    for (const auto &fault : {faults[0], faults[1], faults[2]}) {
        scenario.fault = fault.fault;
        title(scenario, fault.name);
        for (const auto quantile : {0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995}) {
            auto step = steps().back();
            step.query.hedgeQuantile = quantile;
            print(absl::StrFormat("hedge p%g", 100 * quantile), simulate(scenario, step));
        }
        for (const auto permille : {0U, 10U, 20U, 50U, 100U, 200U}) {
            auto step = steps().back();
            step.extraLoadPermille = permille;
            print(absl::StrFormat("budget %d/1000", permille), simulate(scenario, step));
        }
    }
}

} // namespace

/// Runs all scenarios with all steps of the policy: `policy_bench [faults|load|owners|sweep]`, everything by default.
auto main(int argc, char **argv) -> int
{
    const auto only = argc > 1 ? std::string_view{argv[1]} : std::string_view{};
    if (only.empty() || only == "faults") {
        runFaults();
    }
    if (only.empty() || only == "load") {
        runLoad();
    }
    if (only.empty() || only == "owners") {
        runOwners();
    }
    if (only.empty() || only == "sweep") {
        runSweep();
    }
    return 0;
}
