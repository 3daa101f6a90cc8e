#include "tamarackspan/query/snapshot.h"

#include <algorithm>

namespace tamarackspan::query {

namespace {

auto shardHeld(const contracts::Shard &shard, base::IndexVersion version, const routing::LeafTable &table) -> bool
{
    return std::ranges::any_of(shard.replicas, [&](const base::LeafId &leaf) {
        return !routing::isLeaving(table, leaf) && mayHold(table, leaf, version);
    });
}

} // namespace

auto mayHold(const routing::LeafTable &table, const base::LeafId &leaf, base::IndexVersion version) -> bool
{
    const auto found = table.leafs.find(leaf);
    return found == table.leafs.end() || found->second.heldVersions.empty()
        || std::ranges::find(found->second.heldVersions, version) != found->second.heldVersions.end();
}

auto choosePin(const ServiceView &view, const routing::LeafTable &table) -> PinChoice
{
    auto best = PinChoice{{base::IndexVersion{}, view.generation}, 0};
    auto isFirst = true;
    for (const auto &version : view.service.indexVersions) {
        const auto held = static_cast<std::uint32_t>(std::ranges::count_if(view.service.shards, [&](const contracts::Shard &shard) {
            return shardHeld(shard, version, table);
        }));
        if (isFirst || held > best.shardsHeld) {
            best = {{version, view.generation}, held};
            isFirst = false;
        }
        if (held == view.service.shards.size()) {
            break;
        }
    }
    return best;
}

} // namespace tamarackspan::query
