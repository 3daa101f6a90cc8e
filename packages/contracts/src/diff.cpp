#include "tamarackspan/contracts/diff.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <map>

namespace tamarackspan::contracts {

namespace {

/// The values of a document as text, by dotted key.
using FlatDocument = std::map<std::string, std::string>;

auto flagText(bool flag) -> std::string
{
    return flag ? "true" : "";
}

auto put(FlatDocument &flat, std::string key, std::string value) -> void
{
    if (!value.empty()) {
        flat.emplace(std::move(key), std::move(value));
    }
}

auto putOperation(FlatDocument &flat, const Operation &operation) -> void
{
    const auto prefix = absl::StrCat("operations.", operation.name.get(), ".");
    put(flat, prefix + "service", operation.service.get());
    put(flat, prefix + "kind", operation.kind == OperationKind::Query ? "query" : "execute");
    put(flat, prefix + "priority", operation.priority == Priority::Urgent ? "urgent" : "routine");
    put(flat, prefix + "deadline_ms", absl::StrCat(absl::ToInt64Milliseconds(operation.deadline)));
    put(flat, prefix + "coverage_floor_permille", absl::StrCat(operation.coverageFloorPermille));
    put(flat, prefix + "below_floor", operation.belowFloor == BelowFloor::Refuse ? "refuse" : "label");
    put(flat, prefix + "extra_load_permille", absl::StrCat(operation.extraLoadPermille));
    put(flat, prefix + "max_rows", absl::StrCat(operation.maxRows));
}

auto flatten(const Contract &contract) -> FlatDocument
{
    auto flat = FlatDocument{};
    put(flat, "customer", contract.customer.get());
    put(flat, "published_by", contract.publishedBy);
    put(flat, "removed", flagText(contract.removed));
    if (contract.limits != Limits{}) {
        put(flat, "limits.requests_per_second", absl::StrCat(contract.limits.requestsPerSecond));
        put(flat, "limits.burst", absl::StrCat(contract.limits.burst));
        put(flat, "limits.concurrency", absl::StrCat(contract.limits.concurrency));
    }
    for (const auto &[dataCentre, part] : contract.dataCentrePermille) {
        put(flat, absl::StrCat("data_centres.", dataCentre.get()), absl::StrCat(part));
    }
    for (const auto &[name, operation] : contract.operations) {
        putOperation(flat, operation);
    }
    return flat;
}

auto putLeaf(FlatDocument &flat, const Leaf &leaf) -> void
{
    const auto prefix = absl::StrCat("leafs.", leaf.id.get(), ".");
    put(flat, prefix + "address", leaf.address);
    put(flat, prefix + "port", absl::StrCat(leaf.port));
    put(flat, prefix + "slots", absl::StrCat(leaf.slots));
    put(flat, prefix + "connections", absl::StrCat(leaf.connections));
    put(flat, prefix + "leaving", flagText(leaf.leaving));
}

auto flatten(const Service &service) -> FlatDocument
{
    auto flat = FlatDocument{};
    put(flat, "service", service.name.get());
    put(flat, "data_centre", service.dataCentre.get());
    put(flat, "published_by", service.publishedBy);
    put(flat, "removed", flagText(service.removed));
    const auto appendId = [](std::string *text, const auto &id) {
        absl::StrAppend(text, id.get());
    };
    put(flat, "index_versions", absl::StrJoin(service.indexVersions, ",", appendId));
    if (!service.shards.empty()) {
        put(flat, "ownership_group_size", absl::StrCat(service.ownershipGroupSize));
    }
    for (const auto &[id, leaf] : service.leafs) {
        putLeaf(flat, leaf);
    }
    for (const auto &shard : service.shards) {
        put(flat, absl::StrCat("shards.", shard.id.get(), ".replicas"), absl::StrJoin(shard.replicas, ",", appendId));
    }
    return flat;
}

auto flatten(const HostList &list) -> FlatDocument
{
    auto flat = FlatDocument{};
    put(flat, "data_centre", list.dataCentre.get());
    for (const auto &host : list.hosts) {
        put(flat, absl::StrCat("hosts.", host.id.get()), host.leaving ? "leaving" : "live");
    }
    return flat;
}

auto compare(const FlatDocument &before, const FlatDocument &after) -> std::vector<Change>
{
    auto keys = before;
    keys.insert(after.begin(), after.end());
    const auto valueIn = [](const FlatDocument &flat, const std::string &key) {
        const auto place = flat.find(key);
        return place == flat.end() ? std::string() : place->second;
    };
    auto changes = std::vector<Change>{};
    for (const auto &[key, value] : keys) {
        auto change = Change{key, valueIn(before, key), valueIn(after, key)};
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

} // namespace

auto diff(const Contract &before, const Contract &after) -> std::vector<Change>
{
    return compare(flatten(before), flatten(after));
}

auto diff(const Service &before, const Service &after) -> std::vector<Change>
{
    return compare(flatten(before), flatten(after));
}

auto diff(const HostList &before, const HostList &after) -> std::vector<Change>
{
    return compare(flatten(before), flatten(after));
}

auto toString(const Change &change) -> std::string
{
    const auto shown = [](const std::string &text) {
        return text.empty() ? std::string("(none)") : text;
    };
    return absl::StrCat(change.key, ": ", shown(change.before), " -> ", shown(change.after));
}

} // namespace tamarackspan::contracts
