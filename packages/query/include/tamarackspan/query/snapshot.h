#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/service.h"
#include "tamarackspan/query/query_actions.h"
#include "tamarackspan/routing/leaf_table.h"

#include <cstdint>

namespace tamarackspan::query {

/// A published service with the revision of its document, which identifies one generation of the shard map.
struct ServiceView
{
    base::Revision generation;
    contracts::Service service;

    friend auto operator==(const ServiceView &, const ServiceView &) -> bool = default;
};

/// A snapshot, and the number of shards for which some replica may hold it.
struct PinChoice
{
    Pin pin;
    std::uint32_t shardsHeld = 0;

    friend auto operator==(const PinChoice &, const PinChoice &) -> bool = default;
};

/// Returns the snapshot that covers the most shards, and the newest of those if several do. A leaf that has not reported its versions is assumed to hold all
/// published ones; leafs that are leaving do not count. The version is zero if none is published.
[[nodiscard]] auto choosePin(const ServiceView &view, const routing::LeafTable &table) -> PinChoice;

/// True if the leaf holds the version or has not reported its versions.
[[nodiscard]] auto mayHold(const routing::LeafTable &table, const base::LeafId &leaf, base::IndexVersion version) -> bool;

} // namespace tamarackspan::query
