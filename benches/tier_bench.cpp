// Measures one host with real processes: the latency that it adds to direct calls of leafs, the processor time of a query and of a leaf request, and the cost
// of an idle host. Usage: tier_bench [SHARDS] [QUERIES PER SECOND] [TRAFFIC THREADS]

#include "direct_load.h"
#include "process_usage.h"

#include "tamarackspan/testkit/fleet.h"
#include "tamarackspan/testkit/load_driver.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;

constexpr auto slots = 64U;
constexpr auto connections = 64U;
constexpr auto loadTime = absl::Seconds(6);
constexpr auto idleTime = absl::Seconds(8);
constexpr auto seed = std::uint64_t{20261204};

auto shardsOf(unsigned leaf, unsigned leafs) -> std::vector<unsigned>
{
    return {leaf, (leaf + leafs - 1) % leafs};
}

auto serviceText(const std::vector<std::uint16_t> &ports) -> std::string
{
    auto text = std::string("service = \"bench\"\ndata_centre = \"a\"\nindex_versions = [1]\nownership_group_size = 8\n");
    for (auto i = std::size_t{0}; i < ports.size(); ++i) {
        absl::StrAppend(&text, "[leafs.l", i, "]\naddress = \"127.0.0.1\"\nport = ", ports[i], "\nslots = ", slots, "\nconnections = ", connections, "\n");
    }
    for (auto i = std::size_t{0}; i < ports.size(); ++i) {
        absl::StrAppend(&text, "[[shards]]\nid = ", i, "\nreplicas = [\"l", i, "\", \"l", (i + 1) % ports.size(), "\"]\n");
    }
    return text;
}

constexpr auto contractText = R"(customer = "bench"
[limits]
requests_per_second = 100000
burst = 100000
concurrency = 10000
[data_centres]
a = 1000
[operations.search]
service = "bench"
kind = "query"
deadline_ms = 1000
coverage_floor_permille = 0
)";

auto quantile(std::vector<absl::Duration> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
    return absl::ToDoubleMilliseconds(values[at]);
}

struct TierRun
{
    std::vector<absl::Duration> latencies;
    std::uint64_t answers = 0;
    std::uint64_t leafRequests = 0;
    std::uint64_t refused = 0;
    absl::Duration elapsed;
    absl::Duration hostTime;
};

auto runTier(testkit::Fleet &fleet, double rate, std::uint32_t inFlight) -> TierRun
{
    auto options = testkit::LoadOptions();
    options.addresses = {fleet.addresses(0).caller};
    options.mix = {{"bench", "search", false, 1}};
    options.rate = rate;
    options.inFlight = inFlight;
    options.duration = loadTime;
    options.count = 10'000'000;
    options.seed = seed;
    auto run = TierRun();
    auto observer = testkit::LoadObserver();
    observer.onCall = [&run](const testkit::CallRecord &call) {
        if (call.status == 200) {
            ++run.answers;
            run.leafRequests += call.answer["cost"]["leaf_requests"].get<std::uint64_t>();
            run.latencies.push_back(call.ended - call.started);
        } else {
            ++run.refused;
        }
    };
    observer.onProgress = [](const testkit::LoadProgress &) {};
    const auto before = benches::usageOf(fleet.process(0).pid());
    const auto start = absl::Now();
    testkit::driveLoad(options, observer);
    run.elapsed = absl::Now() - start;
    run.hostTime = benches::usageOf(fleet.process(0).pid()).processorTime - before.processorTime;
    return run;
}

auto printTier(const char *name, const TierRun &run) -> void
{
    const auto seconds = absl::ToDoubleSeconds(run.elapsed);
    std::printf("%-12s %8.0f queries/s %9.0f leaf requests/s  refused %llu  p50 %.2f ms  p99 %.2f ms  host %.2f cores  %.0f us/query  %.1f us/leaf request\n",
                name, static_cast<double>(run.answers) / seconds, static_cast<double>(run.leafRequests) / seconds, static_cast<unsigned long long>(run.refused),
                quantile(run.latencies, 0.5), quantile(run.latencies, 0.99), absl::ToDoubleSeconds(run.hostTime) / seconds,
                absl::ToDoubleMicroseconds(run.hostTime) / static_cast<double>(std::max<std::uint64_t>(run.answers, 1)),
                absl::ToDoubleMicroseconds(run.hostTime) / static_cast<double>(std::max<std::uint64_t>(run.leafRequests, 1)));
}

auto measureIdle(testkit::Fleet &fleet) -> void
{
    const auto before = benches::usageOf(fleet.process(0).pid());
    absl::SleepFor(idleTime);
    const auto after = benches::usageOf(fleet.process(0).pid());
    std::printf("idle         %.2f%% of a core, %.1f MB resident\n",
                100.0 * absl::ToDoubleSeconds(after.processorTime - before.processorTime) / absl::ToDoubleSeconds(idleTime),
                static_cast<double>(after.residentBytes) / 1e6);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto shards = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 20U;
    const auto rate = argc > 2 ? std::atof(argv[2]) : 100.0;
    const auto threads = argc > 3 ? static_cast<unsigned>(std::atoi(argv[3])) : 1U;
    std::printf("tier_bench: %u shards, %.0f queries/s, %u traffic threads, seed %llu\n", shards, rate, threads, static_cast<unsigned long long>(seed));
    auto fleet = testkit::Fleet({TAMARACKSPAND_PROGRAM, LEAFSTANDIN_PROGRAM, PLATFORMSTANDIN_PROGRAM});
    auto ports = std::vector<std::uint16_t>();
    constexpr auto leafsPerProcess = 10U;
    for (auto first = 0U; first < shards; first += leafsPerProcess) {
        auto leafs = std::vector<nlohmann::json>();
        for (auto i = first; i < std::min(shards, first + leafsPerProcess); ++i) {
            leafs.push_back({{"id", absl::StrCat("l", i)},
                             {"port", 0},
                             {"slots", 2 * slots},
                             {"connections", 2 * connections},
                             {"shards", shardsOf(i, shards)},
                             {"index_versions", {1}},
                             {"mean_us", 1000}});
        }
        const auto started = fleet.startLeafs(leafs);
        if (!started.ok()) {
            std::printf("leafs: %s\n", std::string(started.status().message()).c_str());
            return 1;
        }
        ports.insert(ports.end(), started->begin(), started->end());
    }
    auto host = testkit::HostOptions();
    host.trafficThreads = threads;
    host.timing = {"lease_ms = 2000", "host_list_lag_ms = 200"};
    fleet.addHost(host);
    const auto published = fleet.publish("contracts/bench", contractText).ok() && fleet.publish("services/a/bench", serviceText(ports)).ok()
        && fleet.publish("hosts/a", absl::StrCat("data_centre = \"a\"\n[[hosts]]\nid = \"", fleet.addresses(0).inner, "\"\n")).ok();
    if (const auto ready = fleet.startAll(absl::Seconds(30)); !published || !ready.ok()) {
        std::printf("host: %s\n", std::string(ready.message()).c_str());
        return 1;
    }
    measureIdle(fleet);
    auto direct = benches::DirectLoad();
    for (const auto port : ports) {
        direct.leafs.push_back(absl::StrCat("127.0.0.1:", port));
    }
    direct.queriesPerSecond = rate;
    direct.duration = loadTime;
    direct.seed = seed;
    const auto latencies = benches::runDirectLoad(direct);
    std::printf("direct       %8.0f queries/s  p50 %.2f ms  p99 %.2f ms\n", static_cast<double>(latencies.size()) / absl::ToDoubleSeconds(loadTime),
                quantile(latencies, 0.5), quantile(latencies, 0.99));
    const auto steady = runTier(fleet, rate, 1000);
    printTier("tier", steady);
    std::printf("added        p50 %.2f ms  p99 %.2f ms\n", quantile(steady.latencies, 0.5) - quantile(latencies, 0.5),
                quantile(steady.latencies, 0.99) - quantile(latencies, 0.99));
    printTier("closed loop", runTier(fleet, 0, 32));
    return 0;
}
