#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace tamarackspan::gateway {

/// The hosts that use one leaf.
struct ConnectionSharers
{
    std::size_t count = 1;
    /// Whether the count is only assumed, as it is right after a start.
    bool assumed = false;

    friend auto operator==(const ConnectionSharers &, const ConnectionSharers &) -> bool = default;
};

/// How a host uses connections to one leaf.
struct ConnectionShare
{
    /// Maximum number of open connections.
    std::uint32_t connections = 1;
    /// How long an idle one is kept after a request.
    absl::Duration idleTimeout = absl::InfiniteDuration();

    friend auto operator==(const ConnectionShare &, const ConnectionShare &) -> bool = default;
};

/// Returns a host's share of the `all` connections that a leaf accepts. A host always may open one. If there are more hosts than connections, it closes that
/// one after each request: hosts that rarely ask a leaf would otherwise hold connections that are not theirs, and the leaf would reset those of hosts that ask
/// it often. A count that is only assumed is no reason to close it: each new connection costs the leaf time.
[[nodiscard]] auto shareConnections(std::uint32_t all, const ConnectionSharers &sharers) noexcept -> ConnectionShare;

} // namespace tamarackspan::gateway
