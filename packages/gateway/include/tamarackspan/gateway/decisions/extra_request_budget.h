#pragma once

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarackspan::gateway {

/// Limits on extra requests, that is hedges and retries, from a host to a service.
struct ExtraRequestOptions
{
    /// Extra requests allowed for each request within the window; holds over all hosts when each host applies it to its own requests.
    double ratio = 0.0;
    /// Extra requests in a window that this host may send in addition to the ratio.
    double slack = 0.0;
    absl::Duration window = absl::Seconds(10);

    friend auto operator==(const ExtraRequestOptions &, const ExtraRequestOptions &) -> bool = default;
};

/// The hosts among which the slack of a service is divided.
struct QuotaHosts
{
    /// Number of all hosts.
    std::size_t quotaHostCount = 1;
    /// Number of coordinators among them: hosts that usually send requests to the service themselves instead of forwarding queries.
    std::size_t coordinatorCount = 1;
    /// Whether this host is a coordinator.
    bool isCoordinator = true;

    friend auto operator==(const QuotaHosts &, const QuotaHosts &) -> bool = default;
};

/// Returns this host's share of a slack that limits all hosts together. The slack serves a new set of shards, which has no requests yet for the ratio to apply
/// to.
[[nodiscard]] auto slackShare(double slack, const QuotaHosts &hosts) -> double;

/// Limits hedges and retries to one service within a sliding window. Guards against the extra load when leafs slow down and every request would be hedged.
class ExtraRequestBudget
{
public:
    /// Counts a caller's request for the service.
    auto countRequest(absl::Time now) -> void;

    /// Returns whether an extra request is allowed now, and counts it if so.
    [[nodiscard]] auto take(absl::Time now, const ExtraRequestOptions &options) -> bool;

    /// Returns whether take() would allow one.
    [[nodiscard]] auto available(absl::Time now, const ExtraRequestOptions &options) -> bool;

private:
    /// Slices of a window, which expire one by one. There is one more than the window is divided into, so that they cover at least its length.
    static constexpr auto slices = std::size_t{11};

    auto advance(absl::Time now, absl::Duration window) -> void;

    std::array<std::uint32_t, slices> requests{};
    std::array<std::uint32_t, slices> extras{};
    std::size_t current = 0;
    absl::Time sliceEnd = absl::InfinitePast();
    absl::Duration window = absl::Seconds(10);
};

} // namespace tamarackspan::gateway
