#include "tamarackspan/gateway/decisions/connection_share.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// The share of a leaf's connections that is used: closed ones count at the leaf until it notices.
constexpr auto usableShare = 0.9;

} // namespace

auto shareConnections(std::uint32_t all, const ConnectionSharers &sharers) noexcept -> ConnectionShare
{
    const auto share = static_cast<double>(all) * usableShare / static_cast<double>(std::max<std::size_t>(sharers.count, 1));
    if (share >= 1.0) {
        return {.connections = static_cast<std::uint32_t>(share)};
    }
    return {.connections = 1, .idleTimeout = sharers.assumed ? absl::InfiniteDuration() : absl::ZeroDuration()};
}

} // namespace tamarackspan::gateway
