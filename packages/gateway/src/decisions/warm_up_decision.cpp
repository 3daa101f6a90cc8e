#include "tamarackspan/gateway/decisions/warm_up_decision.h"

#include "tamarackspan/base/random.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::gateway {

namespace {

/// The part of a limit that all hosts together use at most.
constexpr auto usedShare = 0.7;
/// A permission expires after this part of the period, so that permissions don't accumulate.
constexpr auto lifetimePerPeriod = 0.25;
/// The longest life of a permission. Hosts learn of a cold leaf at about the same time, and all whose permissions are valid then use them at once: with a
/// quarter of the period, 72 hosts exceeded the bound at nearly every cold leaf of a trial with limits of 2 to 8 requests per second.
constexpr auto longestLifetime = absl::Milliseconds(250);
/// Number of standard deviations by which the requests of one second stay below the bound. Phases are random, so the requests of many hosts in one second have
/// about a Poisson distribution.
constexpr auto deviations = 3.0;
/// With a shorter period the limit is so high that hosts needn't be held back.
constexpr auto shortestPeriod = absl::Milliseconds(1);
constexpr auto two64 = 18446744073709551616.0;

} // namespace

auto warmUpPhase(std::string_view hostName, std::string_view leafId, std::int64_t leafStartedAt) -> std::uint64_t
{
    const auto host = base::mixBits(base::stableHash(hostName.data(), hostName.size()));
    const auto leaf = base::mixBits(base::stableHash(leafId.data(), leafId.size()) + static_cast<std::uint64_t>(leafStartedAt));
    return base::mixBits(host ^ base::mixBits(leaf + 1));
}

auto warmUpRate(double perSecond, const WarmUpBounds &bounds) -> double
{
    // The greatest mean m of a Poisson distribution with m + deviations * sqrt(m) <= bound.
    const auto bound = std::max(perSecond * bounds.excess + bounds.slack, 0.0);
    const auto root = (std::sqrt(deviations * deviations + 4.0 * bound) - deviations) / 2.0;
    // The requests of two halves that don't know of each other, of one second and of a permission's life before it.
    const auto fromBound = root * root / 2.0 / (1.0 + absl::ToDoubleSeconds(longestLifetime));
    return std::min(perSecond * usedShare, fromBound);
}

auto decideWarmUp(const WarmUpShare &share, absl::Time usedAt, absl::Time now) -> WarmUpPermission
{
    const auto period = absl::Seconds(static_cast<double>(std::max<std::size_t>(share.hosts, 1)) / warmUpRate(share.perSecond, share.bounds));
    if (period < shortestPeriod) {
        return {.granted = true, .from = now};
    }
    if (period == absl::InfiniteDuration()) {
        return {.granted = false, .from = absl::InfiniteFuture()};
    }
    const auto lifetime = std::min(period * lifetimePerPeriod, longestLifetime);
    const auto offset = period * (static_cast<double>(share.phase) / two64);
    auto sinceBegin = (now - absl::UnixEpoch() - offset) % period;
    if (sinceBegin < absl::ZeroDuration()) {
        sinceBegin += period;
    }
    const auto begin = now - sinceBegin;
    // Also bounds what a host sends when its period changes with the number of hosts.
    const auto earliest = usedAt + (period - lifetime);
    if (sinceBegin < lifetime && usedAt < begin && now >= earliest) {
        return {.granted = true, .from = now};
    }
    const auto next = begin + period;
    return {.granted = false, .from = next >= earliest ? next : next + period};
}

} // namespace tamarackspan::gateway
