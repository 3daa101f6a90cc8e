#include "deployment.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <thread>

namespace tamarackspan::answers {

namespace {

constexpr auto leafCount = std::size_t{4};
constexpr auto startTimeout = absl::Seconds(20);

auto idOf(std::size_t leaf) -> std::string
{
    return absl::StrCat("l", leaf % leafCount);
}

auto queryOperation(const std::string &name, const PublishedContract &contract, std::uint32_t floor, const std::string &belowFloor) -> std::string
{
    return absl::StrCat("\n[operations.", name, "]\nservice = \"trays\"\nkind = \"query\"\npriority = \"routine\"\ndeadline_ms = ", contract.deadlineMs,
                        "\ncoverage_floor_permille = ", floor, "\nbelow_floor = \"", belowFloor, "\"\nextra_load_permille = ", contract.extraLoadPermille,
                        "\nmax_rows = 100\n");
}

auto printLatencies(const testkit::LoadOptions &options, const testkit::LoadSummary &summary)
{
    std::printf("load %s seed %llu: %llu calls, %llu answers, p50 %.1f ms, p99 %.1f ms\n", options.caller.c_str(),
                static_cast<unsigned long long>(options.seed), static_cast<unsigned long long>(summary.calls), static_cast<unsigned long long>(summary.answers),
                absl::ToDoubleMilliseconds(testkit::quantile(summary.latencies, 0.5)), absl::ToDoubleMilliseconds(testkit::quantile(summary.latencies, 0.99)));
    for (const auto &[reason, count] : summary.refusals) {
        std::printf("  %s: %llu\n", reason.c_str(), static_cast<unsigned long long>(count));
    }
}

} // namespace

Deployment::Deployment(std::size_t hosts, const Json &leafKeys, const std::function<void(testkit::HostOptions &, std::size_t)> &adjust)
    : fleet({.daemon = TAMARACKSPAND_PROGRAM, .leafStandIn = LEAFSTANDIN_PROGRAM, .platformStandIn = PLATFORMSTANDIN_PROGRAM})
{
    auto leafs = std::vector<Json>();
    for (auto i = std::size_t{0}; i < leafCount; ++i) {
        auto leaf = Json{{"id", idOf(i)},   {"slots", 4},    {"connections", 25}, {"shards", {0, 1, 2, 3}}, {"index_versions", {42, 41}},
                         {"mean_us", 2000}, {"seed", 7 + i}, {"rows", 5}};
        leaf.update(leafKeys);
        leafs.push_back(std::move(leaf));
    }
    auto ports = this->fleet.startLeafs(leafs);
    EXPECT_TRUE(ports.ok()) << ports.status();
    this->leafPorts = ports.value_or(std::vector<std::uint16_t>(leafCount));
    auto all = std::vector<std::size_t>();
    for (auto i = std::size_t{0}; i < hosts; ++i) {
        auto options = testkit::HostOptions();
        options.timing = {"lease_ms = 800", "host_list_lag_ms = 200", "heartbeat_ms = 100", "peer_timeout_ms = 800", "platform_wait_ms = 2000"};
        if (adjust) {
            adjust(options, i);
        }
        all.push_back(this->fleet.addHost(options));
    }
    this->publishHosts(all);
    this->publishService({});
    this->publishContract({});
}

Deployment::~Deployment()
{
    if (testing::Test::HasFailure()) {
        std::cout << this->fleet.outputs();
    }
}

auto Deployment::publishHosts(const std::vector<std::size_t> &hosts) -> void
{
    auto text = std::string();
    for (const auto host : hosts) {
        absl::StrAppend(&text, "[[hosts]]\nid = \"", this->fleet.addresses(host).inner, "\"\n");
    }
    EXPECT_TRUE(this->fleet.publish("hosts/a", "data_centre = \"a\"\n" + text).ok());
}

auto Deployment::publishService(const PublishedService &service) -> void
{
    auto text = absl::StrCat("service = \"trays\"\ndata_centre = \"a\"\npublished_by = \"test\"\nindex_versions = [", absl::StrJoin(service.versions, ", "),
                             "]\nownership_group_size = ", service.groupSize, "\n");
    for (auto i = std::size_t{0}; i < leafCount; ++i) {
        const auto other = service.otherPorts.find(i);
        const auto port = other == service.otherPorts.end() ? this->leafPorts[i] : other->second;
        absl::StrAppend(&text, "\n[leafs.", idOf(i), "]\naddress = \"127.0.0.1\"\nport = ", port, "\nslots = ", service.slots,
                        "\nconnections = ", service.connections, "\n", service.leaving.contains(i) ? "leaving = true\n" : "");
    }
    for (auto i = std::size_t{0}; i < service.shards; ++i) {
        absl::StrAppend(&text, "\n[[shards]]\nid = ", i, "\nreplicas = [\"", idOf(i + service.shift), "\", \"", idOf(i + service.shift + 1), "\"]\n");
    }
    EXPECT_TRUE(this->fleet.publish("services/a/trays", text).ok());
}

auto Deployment::publishContract(const PublishedContract &contract) -> void
{
    EXPECT_TRUE(this->fleet
                    .publish("contracts/desk",
                             absl::StrCat("customer = \"desk\"\npublished_by = \"test\"\n\n[limits]\nrequests_per_second = 20000\nburst = 4000\n"
                                          "concurrency = 3000\n\n[data_centres]\na = 1000\n",
                                          queryOperation("strict", contract, 1000, "refuse"), queryOperation("labelled", contract, 0, "label"),
                                          "\n[operations.book]\nservice = \"trays\"\nkind = \"execute\"\npriority = \"urgent\"\ndeadline_ms = ",
                                          contract.deadlineMs, "\n"))
                    .ok());
}

auto Deployment::start() -> void
{
    const auto status = this->fleet.startAll(startTimeout);
    ASSERT_TRUE(status.ok()) << status;
}

auto Deployment::load(const std::string &operation, const std::vector<std::size_t> &hosts, std::uint64_t seed) const -> testkit::LoadOptions
{
    auto options = testkit::LoadOptions();
    for (const auto host : hosts) {
        options.addresses.push_back(this->fleet.addresses(host).caller);
    }
    options.mix = {{.customer = "desk", .operation = operation}};
    options.inFlight = 8;
    options.duration = absl::Seconds(3);
    options.seed = seed;
    options.caller = absl::StrCat(operation, seed);
    return options;
}

auto Deployment::drive(const testkit::LoadOptions &options, const std::function<void()> &meanwhile) -> void
{
    auto summary = testkit::LoadSummary();
    auto driver = std::thread([&] {
        testkit::driveLoad(options,
                           {.onCall =
                                [&](const testkit::CallRecord &call) {
                                    testkit::addCall(summary, call);
                                    this->calls.push_back(testkit::historyRecord(call, options.caller));
                                    if (call.status == 0) {
                                        // Without a reply, the outcome is unknown. The load driver records a refused connection as "not run", although its
                                        // client library may have sent the request before, on a reused connection that then closed.
                                        this->calls.back()["run"] = "may-have-run";
                                    }
                                },
                            .onProgress = [](const testkit::LoadProgress &) {}});
    });
    if (meanwhile) {
        meanwhile();
    }
    driver.join();
    printLatencies(options, summary);
}

auto Deployment::addRecord(const Json &record) -> void
{
    this->calls.push_back(record);
}

auto Deployment::check(const std::vector<std::string> &rules, testkit::CheckerOptions options) -> void
{
    auto records = this->fleet.leafHistory();
    records.insert(records.end(), this->calls.begin(), this->calls.end());
    auto report = testkit::checkHistory(records, options);
    for (const auto &rule : rules) {
        const auto judged = std::any_of(report.rules.begin(), report.rules.end(), [&rule](const testkit::RuleCount &count) {
            return count.rule == rule && count.checkCount > 0;
        });
        EXPECT_TRUE(judged) << rule << " had nothing to judge";
    }
    const auto violations = report.violations.size();
    report.violations.resize(std::min<std::size_t>(violations, 5));
    EXPECT_EQ(violations, 0) << toString(report);
    std::printf("%s", toString(report).c_str());
}

auto Deployment::callsOf(const std::string &caller) const -> std::vector<Json>
{
    auto found = std::vector<Json>();
    std::copy_if(this->calls.begin(), this->calls.end(), std::back_inserter(found), [&caller](const Json &call) {
        return call.value("caller", "") == caller;
    });
    return found;
}

auto Deployment::answersOf(const std::string &caller) const -> std::vector<Json>
{
    auto found = std::vector<Json>();
    for (const auto &call : this->callsOf(caller)) {
        if (call["status"] == 200) {
            found.push_back(call["answer"]);
        }
    }
    return found;
}

auto Deployment::queryUrl(std::size_t host, const std::string &operation) const -> std::string
{
    return absl::StrCat("http://", this->fleet.addresses(host).caller, "/v1/customers/desk/operations/", operation, "/query");
}

} // namespace tamarackspan::answers
