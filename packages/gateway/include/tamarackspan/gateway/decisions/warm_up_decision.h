#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tamarackspan::gateway {

/// What the leafs of a service tolerate while they are cold.
struct WarmUpLimit
{
    /// Requests per second to one cold leaf, of all hosts together; 0 if there is no limit.
    double perSecond = 0.0;
    /// How long a leaf is cold after its start; zero if unknown.
    absl::Duration duration = absl::ZeroDuration();

    friend auto operator==(const WarmUpLimit &, const WarmUpLimit &) -> bool = default;
};

/// The bound that holds over all hosts: no more than `perSecond * excess + slack` requests reach a cold leaf in any second.
struct WarmUpBounds
{
    double excess = 1.5;
    double slack = 5.0;

    friend auto operator==(const WarmUpBounds &, const WarmUpBounds &) -> bool = default;
};

/// One host's share of the requests to one cold leaf.
struct WarmUpShare
{
    /// The leaf's WarmUpLimit::perSecond; more than 0.
    double perSecond = 1.0;
    /// The number of hosts that may send requests to the leaf, this one included.
    std::size_t hosts = 1;
    /// Places this host's periods among those of the others; see warmUpPhase().
    std::uint64_t phase = 0;
    WarmUpBounds bounds{};

    friend auto operator==(const WarmUpShare &, const WarmUpShare &) -> bool = default;
};

/// Whether a host may send a request to a cold leaf now.
struct WarmUpPermission
{
    bool granted = true;
    /// When it may be sent: the given time if granted, otherwise when the next permission begins.
    absl::Time from = absl::InfinitePast();

    friend auto operator==(const WarmUpPermission &, const WarmUpPermission &) -> bool = default;
};

/// Returns a number that depends on a host's name, a leaf's id and the leaf's start, and that is spread evenly over all 64-bit numbers.
[[nodiscard]] auto warmUpPhase(std::string_view hostName, std::string_view leafId, std::int64_t leafStartedAt) -> std::uint64_t;

/// Returns the rate, in requests per second, that all hosts together use of a limit if they know each other. It is at most 0.7 of the limit, so that two halves
/// of the hosts that don't know of each other together stay below 1.5 times the limit on average; it is lower where hosts whose phases happen to be close would
/// exceed the bounds in single seconds.
[[nodiscard]] auto warmUpRate(double perSecond, const WarmUpBounds &bounds) -> double;

/// Returns whether a host whose last request to a cold leaf was sent at `usedAt` may send one now. A host has one permission in each period of `hosts` divided
/// by warmUpRate(); the period begins at the host's phase, and the permission expires soon after.
[[nodiscard]] auto decideWarmUp(const WarmUpShare &share, absl::Time usedAt, absl::Time now) -> WarmUpPermission;

} // namespace tamarackspan::gateway
