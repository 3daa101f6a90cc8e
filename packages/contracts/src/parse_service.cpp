#include "tamarackspan/contracts/document_limits.h"
#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/table_reader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>
#include <set>

namespace tamarackspan::contracts {

namespace {

auto readIndexVersions(TableReader &reader) -> std::vector<base::IndexVersion>
{
    auto versions = std::vector<base::IndexVersion>{};
    const auto *elements = reader.array("index_versions", true);
    if (elements == nullptr) {
        return versions;
    }
    if (elements->empty() || elements->size() > maxIndexVersions) {
        reader.failKey("index_versions", absl::StrCat("expected 1 to ", maxIndexVersions, " versions, found ", elements->size()));
    }
    for (const auto &element : *elements) {
        const auto *number = std::get_if<std::int64_t>(&element.content);
        if (number == nullptr || *number < 0) {
            reader.fail(element, "index_versions", absl::StrCat("expected a whole number from 0, found ", describe(element)));
        } else if (!versions.empty() && static_cast<std::uint64_t>(*number) >= versions.back().get()) {
            reader.fail(element, "index_versions", absl::StrCat("expected each version once, newest first; found ", *number, " after ", versions.back().get()));
        } else {
            versions.emplace_back(static_cast<std::uint64_t>(*number));
        }
    }
    return versions;
}

auto readLeaf(TableReader &reader, const std::string &id) -> Leaf
{
    auto leaf = Leaf{};
    leaf.id = base::LeafId(id);
    leaf.address = reader.address("address");
    leaf.port = static_cast<std::uint16_t>(reader.number("port", {1, std::numeric_limits<std::uint16_t>::max()}));
    leaf.slots = static_cast<std::uint32_t>(reader.number("slots", {1, maxLeafUnits}));
    leaf.connections = static_cast<std::uint32_t>(reader.number("connections", {1, maxLeafUnits}));
    leaf.leaving = reader.flag("leaving", false);
    reader.rejectUnknownKeys();
    return leaf;
}

auto readLeafs(TableReader &reader) -> std::map<base::LeafId, Leaf>
{
    auto leafs = std::map<base::LeafId, Leaf>{};
    for (const auto &entry : reader.entries()) {
        if (!isName(entry.key)) {
            reader.fail(entry.value, entry.key, "expected the name of a leaf");
        }
        if (auto table = reader.nested(entry.value, entry.key)) {
            leafs.emplace(base::LeafId(entry.key), readLeaf(*table, entry.key));
        }
    }
    return leafs;
}

auto readReplicas(TableReader &reader, const std::map<base::LeafId, Leaf> &leafs) -> std::vector<base::LeafId>
{
    auto replicas = std::vector<base::LeafId>{};
    auto seen = std::set<base::LeafId>{};
    const auto *elements = reader.array("replicas", true);
    if (elements == nullptr) {
        return replicas;
    }
    if (elements->empty()) {
        reader.failKey("replicas", "expected at least one leaf, found none");
    }
    for (const auto &element : *elements) {
        const auto *text = std::get_if<std::string>(&element.content);
        const auto id = base::LeafId(text == nullptr ? "" : *text);
        if (!leafs.contains(id)) {
            reader.fail(element, "replicas", absl::StrCat("expected a leaf named under leafs, found ", describe(element)));
        } else if (!seen.insert(id).second) {
            reader.fail(element, "replicas", absl::StrCat("expected each leaf once, found ", describe(element), " again"));
        } else {
            replicas.push_back(id);
        }
    }
    return replicas;
}

auto readShards(TableReader &reader, const std::map<base::LeafId, Leaf> &leafs) -> std::vector<Shard>
{
    auto shards = std::vector<Shard>{};
    auto seen = std::set<base::ShardId>{};
    const auto *elements = reader.array("shards", true);
    if (elements == nullptr) {
        return shards;
    }
    if (elements->empty()) {
        reader.failKey("shards", "expected at least one shard, found none");
    }
    for (auto index = std::size_t{0}; index < elements->size(); ++index) {
        auto table = reader.nested((*elements)[index], absl::StrCat("shards[", index, "]"));
        if (!table) {
            continue;
        }
        const auto id = base::ShardId(static_cast<std::uint32_t>(table->number("id", {0, maxShardId})));
        if (table->has("id") && !seen.insert(id).second) {
            table->failKey("id", absl::StrCat("expected each shard once, found ", id.get(), " again"));
        }
        shards.push_back({id, readReplicas(*table, leafs)});
        table->rejectUnknownKeys();
    }
    std::stable_sort(shards.begin(), shards.end(), [](const Shard &left, const Shard &right) {
        return left.id < right.id;
    });
    return shards;
}

auto readLeafsAndShards(TableReader &reader, Service &service) -> void
{
    service.indexVersions = readIndexVersions(reader);
    service.ownershipGroupSize = static_cast<std::uint32_t>(reader.number("ownership_group_size", {1, maxOwnershipGroupSize}, 1));
    if (auto table = reader.table("leafs", true)) {
        service.leafs = readLeafs(*table);
    }
    service.shards = readShards(reader, service.leafs);
}

} // namespace

auto parseService(std::string_view text, std::string path) -> base::Result<Service, ConfigErrors>
{
    const auto root = parseToml(text, path);
    if (!root.ok()) {
        return root.error();
    }
    auto errors = ConfigErrors{};
    auto reader = TableReader(root.value(), std::move(path), "", errors);
    auto service = Service{};
    service.name = base::ServiceName(reader.name("service"));
    service.dataCentre = base::DataCentre(reader.name("data_centre"));
    service.publishedBy = reader.text("published_by", maxPublishedByBytes);
    service.removed = reader.flag("removed", false);
    if (!service.removed) {
        readLeafsAndShards(reader, service);
    }
    reader.rejectUnknownKeys();
    if (!errors.empty()) {
        sortByPosition(errors);
        return errors;
    }
    return service;
}

} // namespace tamarackspan::contracts
