#include "tamarackspan/contracts/render.h"

#include "tamarackspan/contracts/toml_value.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace tamarackspan::contracts {

namespace {

auto appendHead(std::string &out, const std::string &publishedBy, bool removed) -> void
{
    if (!publishedBy.empty()) {
        absl::StrAppend(&out, "published_by = ", quoteToml(publishedBy), "\n");
    }
    if (removed) {
        absl::StrAppend(&out, "removed = true\n");
    }
}

auto appendOperation(std::string &out, const Operation &operation) -> void
{
    const auto isQuery = operation.kind == OperationKind::Query;
    absl::StrAppend(&out, "\n[operations.", quoteToml(operation.name.get()), "]\n");
    absl::StrAppend(&out, "service = ", quoteToml(operation.service.get()), "\n");
    absl::StrAppend(&out, "kind = ", isQuery ? "\"query\"" : "\"execute\"", "\n");
    absl::StrAppend(&out, "priority = ", operation.priority == Priority::Urgent ? "\"urgent\"" : "\"routine\"", "\n");
    absl::StrAppend(&out, "deadline_ms = ", absl::ToInt64Milliseconds(operation.deadline), "\n");
    if (isQuery) {
        absl::StrAppend(&out, "coverage_floor_permille = ", operation.coverageFloorPermille, "\n");
        absl::StrAppend(&out, "below_floor = ", operation.belowFloor == BelowFloor::Refuse ? "\"refuse\"" : "\"label\"", "\n");
        absl::StrAppend(&out, "extra_load_permille = ", operation.extraLoadPermille, "\n");
        absl::StrAppend(&out, "max_rows = ", operation.maxRows, "\n");
    }
}

auto appendLeaf(std::string &out, const Leaf &leaf) -> void
{
    absl::StrAppend(&out, "\n[leafs.", quoteToml(leaf.id.get()), "]\n");
    absl::StrAppend(&out, "address = ", quoteToml(leaf.address), "\nport = ", leaf.port, "\n");
    absl::StrAppend(&out, "slots = ", leaf.slots, "\nconnections = ", leaf.connections, "\n");
    if (leaf.leaving) {
        absl::StrAppend(&out, "leaving = true\n");
    }
}

auto appendShard(std::string &out, const Shard &shard) -> void
{
    auto replicas = std::vector<std::string>{};
    for (const auto &replica : shard.replicas) {
        replicas.push_back(replica.get());
    }
    absl::StrAppend(&out, "\n[[shards]]\nid = ", shard.id.get(), "\nreplicas = ", quoteTomlArray(replicas), "\n");
}

} // namespace

auto toToml(const Contract &contract) -> std::string
{
    auto out = absl::StrCat("customer = ", quoteToml(contract.customer.get()), "\n");
    appendHead(out, contract.publishedBy, contract.removed);
    if (contract.removed) {
        return out;
    }
    absl::StrAppend(&out, "\n[limits]\nrequests_per_second = ", contract.limits.requestsPerSecond, "\nburst = ", contract.limits.burst);
    absl::StrAppend(&out, "\nconcurrency = ", contract.limits.concurrency, "\n\n[data_centres]\n");
    for (const auto &[dataCentre, part] : contract.dataCentrePermille) {
        absl::StrAppend(&out, quoteToml(dataCentre.get()), " = ", part, "\n");
    }
    for (const auto &[name, operation] : contract.operations) {
        appendOperation(out, operation);
    }
    return out;
}

auto toToml(const Service &service) -> std::string
{
    auto out = absl::StrCat("service = ", quoteToml(service.name.get()), "\ndata_centre = ", quoteToml(service.dataCentre.get()), "\n");
    appendHead(out, service.publishedBy, service.removed);
    if (service.removed) {
        return out;
    }
    const auto appendVersion = [](std::string *text, const base::IndexVersion &version) {
        absl::StrAppend(text, version.get());
    };
    absl::StrAppend(&out, "index_versions = [", absl::StrJoin(service.indexVersions, ", ", appendVersion), "]\n");
    absl::StrAppend(&out, "ownership_group_size = ", service.ownershipGroupSize, "\n");
    for (const auto &[id, leaf] : service.leafs) {
        appendLeaf(out, leaf);
    }
    for (const auto &shard : service.shards) {
        appendShard(out, shard);
    }
    return out;
}

auto toToml(const HostList &list) -> std::string
{
    auto out = absl::StrCat("data_centre = ", quoteToml(list.dataCentre.get()), "\n");
    for (const auto &host : list.hosts) {
        absl::StrAppend(&out, "\n[[hosts]]\nid = ", quoteToml(host.id.get()), "\n", host.leaving ? "leaving = true\n" : "");
    }
    return out;
}

} // namespace tamarackspan::contracts
