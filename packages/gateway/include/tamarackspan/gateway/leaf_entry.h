#pragma once

#include "tamarackspan/census/store_revision.h"
#include "tamarackspan/transport/endpoint.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace tamarackspan::gateway {

/// What a leaf has published about itself.
struct LeafEntry
{
    std::string id{};
    std::string service{};
    transport::Endpoint endpoint{};
    std::string dataCentre{};
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// True once it is about to stop: no new requests are sent to it.
    bool draining = false;
    /// How much longer it answers slowly after its start.
    absl::Duration warmUp = absl::ZeroDuration();
    /// Distinguishes starts under the same id, as Unix time in milliseconds by the leaf's own clock, which may have been set back between two starts; 0 if
    /// unknown.
    std::int64_t startedAt = 0;
    /// Increases with each report since the start.
    std::uint64_t sequence = 0;
    /// The store's revision at which the entry was written. Within one era of the store it orders all entries of a leaf, whatever the leaf's clock says.
    std::uint64_t revision = 0;
    /// The store's era in which the entry was read.
    std::uint64_t era = 0;

    friend auto operator==(const LeafEntry &, const LeafEntry &) -> bool = default;
};

/// Returns the point of the store's history that orders an entry among all entries of its leaf.
[[nodiscard]] auto positionOf(const LeafEntry &entry) noexcept -> census::StoreRevision;

/// Returns whether two entries of a leaf describe the same start of it, with the same service and address.
[[nodiscard]] auto isSameStart(const LeafEntry &one, const LeafEntry &other) -> bool;

} // namespace tamarackspan::gateway
