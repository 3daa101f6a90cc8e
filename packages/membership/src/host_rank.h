#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/contracts/host_list.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarackspan::membership::impl {

/// Returns the hash of a host from which all rankings are computed.
[[nodiscard]] inline auto hostHash(const base::HostId &host) noexcept -> std::uint64_t
{
    return base::stableHash(host.get().data(), host.get().size());
}

/// Returns the weight of a host for a key (rendezvous hashing): the hosts with the greatest weights rank highest.
[[nodiscard]] inline auto rankWeight(std::uint64_t key, std::uint64_t host) noexcept -> std::uint64_t
{
    return base::mixBits(key ^ base::mixBits(host));
}

/// Returns the hosts that rank highest for a key, highest first. With `leavingLast`, leaving hosts rank below all others.
[[nodiscard]] auto firstRanked(const contracts::HostList &list, std::uint64_t key, std::size_t count, bool leavingLast) -> std::vector<base::HostId>;

} // namespace tamarackspan::membership::impl
