#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/service.h"
#include "tamarackspan/query/query_actions.h"
#include "tamarackspan/routing/leaf_table.h"

#include <cstdint>

namespace tamarackspan::query {

/// A service as published, with the revision of its document: one generation of the shard map.
struct ServiceView
{
    base::Revision generation;
    contracts::Service service;

    friend auto operator==(const ServiceView &, const ServiceView &) -> bool = default;
};

/// A snapshot to read from, and for how many shards some replica may hold it.
struct PinChoice
{
    Pin pin;
    std::uint32_t shardsHeld = 0;

    friend auto operator==(const PinChoice &, const PinChoice &) -> bool = default;
};

/// Returns the snapshot that covers the most shards, the newest of those that cover as many. A leaf that hasn't said which versions it holds is taken to hold
/// all that are published; one that is leaving counts for nothing. The version is zero if none is published.
[[nodiscard]] auto choosePin(const ServiceView &view, const routing::LeafTable &table) -> PinChoice;

/// True if the leaf holds the version, or hasn't said which it holds.
[[nodiscard]] auto mayHold(const routing::LeafTable &table, const base::LeafId &leaf, base::IndexVersion version) -> bool;

} // namespace tamarackspan::query
