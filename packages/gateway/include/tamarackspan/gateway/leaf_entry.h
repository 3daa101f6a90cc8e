#pragma once

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
    /// Distinguishes starts under the same id, as Unix time in milliseconds; 0 if unknown.
    std::int64_t startedAt = 0;
    /// Increases with each report since the start.
    std::uint64_t sequence = 0;

    friend auto operator==(const LeafEntry &, const LeafEntry &) -> bool = default;
};

/// Returns whether `next` describes the same start of a leaf as `known`, with the same service and address.
[[nodiscard]] auto isSameStart(const LeafEntry &known, const LeafEntry &next) -> bool;

} // namespace tamarackspan::gateway
