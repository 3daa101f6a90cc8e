// Measures how the costs of control messages and decisions grow, with the production code and small fakes, and fits a straight line to each. Usage:
// slopes_bench

#include "linear_fit.h"

#include "tamarackspan/admission/lending.h"
#include "tamarackspan/base/clock.h"
#include "tamarackspan/configuration/document_store.h"
#include "tamarackspan/configuration/exchange.h"
#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/render.h"
#include "tamarackspan/costs/cost_archive.h"
#include "tamarackspan/daemon/admission_gate.h"
#include "tamarackspan/daemon/answer.h"
#include "tamarackspan/daemon/budget_keeper.h"
#include "tamarackspan/daemon/config_wire.h"
#include "tamarackspan/daemon/cost_keeper.h"
#include "tamarackspan/membership/overlay.h"
#include "tamarackspan/query/query_machine.h"
#include "tamarackspan/routing/ownership.h"
#include "tamarackspan/wire/codec.h"

#include "absl/strings/str_cat.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;

constexpr auto minTime = absl::Milliseconds(200);

/// Returns the mean number of microseconds of a call, over as many calls as fill at least minTime.
auto microsPerCall(const std::function<void()> &call) -> double
{
    call();
    auto calls = 0;
    const auto start = base::monotonicNow();
    auto elapsed = absl::ZeroDuration();
    while (elapsed < minTime) {
        call();
        ++calls;
        elapsed = base::monotonicNow() - start;
    }
    return absl::ToDoubleMicroseconds(elapsed) / calls;
}

auto heapBytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto report(const char *what, const char *unitX, const char *unitY, const std::vector<benches::Point> &points) -> void
{
    const auto fit = benches::fitLine(points);
    std::printf("%s\n ", what);
    for (const auto &point : points) {
        std::printf("  %.0f: %.2f", point.x, point.y);
    }
    std::printf("\n  %.4g %s + %.4g %s per %s (R2 %.3f)\n", fit.intercept, unitY, fit.slope, unitY, unitX, fit.rSquared);
}

auto hostName(std::uint32_t index) -> base::HostId
{
    return base::HostId(absl::StrCat("10.", index / 62500 % 250, ".", index / 250 % 250, ".", index % 250, ":7000"));
}

auto hostNames(std::uint32_t count) -> std::vector<base::HostId>
{
    auto hosts = std::vector<base::HostId>();
    for (auto i = std::uint32_t{0}; i < count; ++i) {
        hosts.push_back(hostName(i));
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

auto hostList(std::uint32_t count) -> contracts::HostList
{
    auto list = contracts::HostList();
    list.dataCentre = base::DataCentre("a");
    for (const auto &host : hostNames(count)) {
        list.hosts.push_back({host, false});
    }
    return list;
}

auto makeService(std::uint32_t leafs) -> contracts::Service
{
    auto service = contracts::Service();
    service.name = base::ServiceName("trays");
    service.dataCentre = base::DataCentre("a");
    service.indexVersions = {base::IndexVersion(2), base::IndexVersion(1)};
    service.ownershipGroupSize = 8;
    for (auto i = std::uint32_t{0}; i < leafs; ++i) {
        auto leaf = contracts::Leaf();
        leaf.id = base::LeafId(absl::StrCat("leaf", absl::Dec(i, absl::kZeroPad6)));
        leaf.address = "10.1.0.1";
        leaf.port = 80;
        leaf.slots = 4;
        leaf.connections = 25;
        service.leafs.emplace(leaf.id, leaf);
    }
    auto ids = std::vector<base::LeafId>();
    for (const auto &[id, leaf] : service.leafs) {
        ids.push_back(id);
    }
    for (auto i = std::uint32_t{0}; i < leafs; ++i) {
        service.shards.push_back({base::ShardId(i), {ids[i], ids[(i + 1) % leafs]}});
    }
    return service;
}

auto makeContract(std::uint32_t index, std::uint32_t operations) -> contracts::Contract
{
    auto contract = contracts::Contract();
    contract.customer = base::CustomerName(absl::StrCat("customer", index));
    contract.publishedBy = "bench";
    contract.limits = {1000, 100, 100};
    contract.dataCentrePermille[base::DataCentre("a")] = 1000;
    for (auto i = std::uint32_t{0}; i < operations; ++i) {
        auto operation = contracts::Operation();
        operation.name = base::OperationName(absl::StrCat("operation", i));
        operation.service = base::ServiceName("trays");
        operation.deadline = absl::Milliseconds(100);
        contract.operations.emplace(operation.name, operation);
    }
    return contract;
}

auto ownershipOverLeafs() -> void
{
    auto points = std::vector<benches::Point>();
    const auto hosts = hostNames(525);
    for (const auto leafs : {64U, 256U, 1024U, 4250U}) {
        const auto service = makeService(leafs);
        points.push_back({static_cast<double>(leafs), microsPerCall([&] {
                              std::ignore = routing::ownershipOf(service, hosts);
                          })});
    }
    report("owners of all leafs, 525 hosts", "leaf", "us", points);
}

auto ownershipOverHosts() -> void
{
    auto points = std::vector<benches::Point>();
    const auto service = makeService(1024);
    for (const auto count : {8U, 64U, 256U, 1050U}) {
        const auto hosts = hostNames(count);
        points.push_back({static_cast<double>(count), microsPerCall([&] {
                              std::ignore = routing::ownershipOf(service, hosts);
                          })});
    }
    report("owners of all leafs, 1,024 leafs", "host", "us", points);
}

auto overlayOverHosts() -> void
{
    auto times = std::vector<benches::Point>();
    auto peers = std::vector<benches::Point>();
    for (const auto count : {8U, 64U, 256U, 1050U}) {
        const auto list = hostList(count);
        const auto self = list.hosts.front().id;
        times.push_back({static_cast<double>(count), microsPerCall([&] {
                             std::ignore = membership::overlayPeers(list, self);
                         })});
        peers.push_back({static_cast<double>(count), static_cast<double>(membership::overlayPeers(list, self).size())});
    }
    report("choice of control peers", "host", "us", times);
    report("control peers of one host", "host", "peers", peers);
}

auto serviceDocument() -> void
{
    auto times = std::vector<benches::Point>();
    auto sizes = std::vector<benches::Point>();
    auto memory = std::vector<benches::Point>();
    for (const auto leafs : {64U, 256U, 1024U, 4250U}) {
        const auto text = contracts::toToml(makeService(leafs));
        auto revision = std::uint64_t{0};
        auto store = configuration::DocumentStore();
        store.dataCentre = base::DataCentre("a");
        const auto before = heapBytes();
        std::ignore = configuration::applyDocument(store, {"services/a/trays", base::Revision(++revision), text}, configuration::DocumentSource::Platform, {});
        memory.push_back({static_cast<double>(leafs), heapBytes() - before});
        times.push_back({static_cast<double>(leafs), microsPerCall([&] {
                             std::ignore = configuration::applyDocument(store, {"services/a/trays", base::Revision(++revision), text},
                                                                        configuration::DocumentSource::Platform, {});
                         })});
        sizes.push_back({static_cast<double>(leafs), static_cast<double>(text.size())});
    }
    report("acceptance of a service document", "leaf", "us", times);
    report("size of a service document", "leaf", "bytes", sizes);
    report("memory of an accepted service document", "leaf", "bytes", memory);
}

auto contractDocuments() -> void
{
    auto times = std::vector<benches::Point>();
    auto memory = std::vector<benches::Point>();
    for (const auto operations : {1U, 4U, 16U, 64U}) {
        const auto text = contracts::toToml(makeContract(1, operations));
        times.push_back({static_cast<double>(operations), microsPerCall([&] {
                             std::ignore = contracts::parseContract(text, "bench");
                         })});
    }
    report("parsing of a contract", "operation", "us", times);
    for (const auto customers : {64U, 256U, 1024U, 4096U}) {
        auto store = configuration::DocumentStore();
        store.dataCentre = base::DataCentre("a");
        const auto before = heapBytes();
        for (auto i = 0U; i < customers; ++i) {
            const auto text = contracts::toToml(makeContract(i, 3));
            std::ignore = configuration::applyDocument(store, {absl::StrCat("contracts/customer", i), base::Revision(i + 1), text},
                                                       configuration::DocumentSource::Platform, {});
        }
        memory.push_back({static_cast<double>(customers), heapBytes() - before});
    }
    report("memory of accepted contracts with 3 operations", "customer", "bytes", memory);
}

auto budgetTick() -> void
{
    auto times = std::vector<benches::Point>();
    auto memory = std::vector<benches::Point>();
    for (const auto customers : {64U, 256U, 1024U, 4096U}) {
        auto roster = membership::RosterState();
        roster.self = hostName(0);
        const auto now = base::monotonicNow();
        // Confirmed every second for a minute, so that the shares are in force.
        for (auto back = 60; back >= 0; --back) {
            const auto at = now - absl::Seconds(back);
            membership::recordList(roster, {base::Revision(1), hostList(525), at}, at, absl::Seconds(1));
        }
        const auto before = heapBytes();
        auto gate = daemon::AdmissionGate(admission::AdmissionConfig());
        auto keeper = daemon::BudgetKeeper({roster.self, base::Incarnation(1), base::DataCentre("a")}, admission::LendingConfig(), roster, gate,
                                           {[](const auto &, const auto &) {}, [](const auto &, const auto &) {}, [](const auto &, const auto &) {}});
        auto contracts = daemon::BudgetKeeper::Contracts();
        for (auto i = 0U; i < customers; ++i) {
            const auto contract = std::make_shared<const contracts::Contract>(makeContract(i, 3));
            contracts.emplace(contract->customer, contract);
        }
        keeper.updateContracts(contracts);
        keeper.tick(now);
        memory.push_back({static_cast<double>(customers), heapBytes() - before});
        times.push_back({static_cast<double>(customers), microsPerCall([&] {
                             keeper.tick(base::monotonicNow());
                         })});
    }
    report("one update of all budgets, 525 hosts, idle customers", "customer", "us", times);
    report("memory of budgets and contracts", "customer", "bytes", memory);
}

auto costReports() -> void
{
    auto times = std::vector<benches::Point>();
    auto sizes = std::vector<benches::Point>();
    for (const auto rows : {16U, 64U, 256U, 1024U}) {
        auto ledger = costs::CostLedger();
        ledger.incarnation = base::Incarnation(1);
        for (auto i = 0U; i < rows; ++i) {
            costs::charge(ledger, {base::CustomerName(absl::StrCat("customer", i)), base::OperationName("search")}, {1, 79, 2, 1, 1, 1000});
        }
        times.push_back({static_cast<double>(rows), microsPerCall([&] {
                             std::ignore = wire::encode(daemon::toWire(costs::reportOf(ledger)));
                         })});
        sizes.push_back({static_cast<double>(rows), static_cast<double>(wire::encode(daemon::toWire(costs::reportOf(ledger))).size())});
    }
    report("encoding of a cost report", "row", "us", times);
    report("size of a cost report", "row", "bytes", sizes);
}

auto controlMessages() -> void
{
    auto digest = wire::ConfigDigestT();
    digest.number = 1'000'000;
    digest.dataCentre = "imereti-a";
    digest.contractsDigest = ~std::uint64_t{0};
    digest.localDigest = ~std::uint64_t{0};
    digest.platformRevision = 1'000'000;
    digest.confirmedAgeMicros = {1'000'000, 1'000'000, 1'000'000};
    digest.hostListRevision = 1'000'000;
    auto heartbeat = wire::HeartbeatT();
    heartbeat.number = 1'000'000;
    auto budgetRequest = admission::BudgetRequest();
    budgetRequest.id = admission::BudgetRequestId(1'000'000);
    budgetRequest.borrower = hostName(1000);
    budgetRequest.borrowerIncarnation = base::Incarnation(~std::uint64_t{0});
    budgetRequest.customer = base::CustomerName("customer1000");
    std::printf("control messages\n  digest %zu bytes, heartbeat %zu bytes, budget request %zu bytes\n", wire::encode(digest).size(),
                wire::encode(heartbeat).size(), wire::encode(daemon::toWire(budgetRequest)).size());
}

auto runQuery(const query::QueryRequest &request, query::QueryContext &context) -> void
{
    auto actions = std::vector<query::Action>();
    const auto now = base::monotonicNow();
    auto state = query::startQuery(request, context, now, actions);
    const auto sent = std::exchange(actions, {});
    for (const auto &action : sent) {
        if (const auto *attempt = std::get_if<query::SendAttempt>(&action)) {
            auto reply = query::LeafReply();
            reply.attempt = attempt->attempt;
            reply.shard = attempt->shard;
            reply.outcome = query::LeafOutcome::Complete;
            reply.pin = state.pin;
            query::onReply(state, context, reply, now + absl::Milliseconds(1), actions);
        }
    }
}

auto queryOverLeafs() -> void
{
    auto times = std::vector<benches::Point>();
    for (const auto shards : {4U, 20U, 79U, 400U}) {
        auto view = std::make_shared<query::ServiceView>();
        view->generation = base::Revision(1);
        view->service = makeService(shards);
        auto table = routing::LeafTable();
        routing::updateService(table, view->service, base::monotonicNow());
        auto extraLoad = query::makeExtraLoadBudget(50, 20);
        auto random = base::Random(1);
        auto request = query::QueryRequest();
        request.view = view;
        request.deadline = absl::InfiniteFuture();
        times.push_back({static_cast<double>(shards), microsPerCall([&] {
                             auto context = query::QueryContext{table, extraLoad, random, view};
                             runQuery(request, context);
                         })});
    }
    report("decisions of one query", "leaf request", "us", times);
}

auto mergeOverLeafs() -> void
{
    auto times = std::vector<benches::Point>();
    const auto body =
        std::string(R"([{"key":"s1-a","score":0.9,"text":"lot B-17"},{"key":"s1-b","score":0.8,"text":"lot B-18"},{"key":"s1-c","score":0.7,"text":"x"}])");
    for (const auto shards : {4U, 20U, 79U, 400U}) {
        auto finish = query::Finish();
        finish.shardsTotal = shards;
        times.push_back({static_cast<double>(shards), microsPerCall([&] {
                             auto rows = std::vector<daemon::Row>();
                             for (auto i = 0U; i < shards; ++i) {
                                 auto leafRows = daemon::parseRows(body);
                                 std::move(leafRows->begin(), leafRows->end(), std::back_inserter(rows));
                             }
                             std::ignore = daemon::answerJson(finish, std::move(rows), 100, {});
                         })});
    }
    report("merge of one answer, 3 rows a leaf", "leaf request", "us", times);
}

auto admissionOverConcurrency() -> void
{
    auto times = std::vector<benches::Point>();
    for (const auto running : {16U, 64U, 256U, 1024U}) {
        auto gate = daemon::AdmissionGate(admission::AdmissionConfig{4096, 4096, 4096});
        const auto customer = base::CustomerName("customer");
        gate.setBudget(customer, {{absl::InfiniteFuture(), {100'000'000, 100'000'000, 10'000}}});
        auto request = admission::Request();
        request.customer = customer;
        request.operation = base::OperationName("search");
        auto tokens = std::deque<admission::RequestToken>();
        const auto offer = [&] {
            request.deadline = base::monotonicNow() + absl::Seconds(1);
            gate.offer(request, [&tokens](admission::RequestToken token, const admission::Decision &decision) {
                if (std::holds_alternative<admission::Admitted>(decision)) {
                    tokens.push_back(token);
                }
            });
        };
        // The token bucket starts empty and fills at its rate.
        while (tokens.size() < running) {
            offer();
        }
        times.push_back({static_cast<double>(running), microsPerCall([&] {
                             offer();
                             if (!tokens.empty()) {
                                 gate.finished(tokens.front());
                                 tokens.pop_front();
                             }
                         })});
    }
    report("admission and end of one request", "running request", "us", times);
}

} // namespace

auto main() -> int
{
    ownershipOverLeafs();
    ownershipOverHosts();
    overlayOverHosts();
    serviceDocument();
    contractDocuments();
    budgetTick();
    costReports();
    controlMessages();
    queryOverLeafs();
    mergeOverLeafs();
    admissionOverConcurrency();
    return 0;
}
