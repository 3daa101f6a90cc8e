#include "tamarackspan/gateway/decisions/forwarding_decision.h"

namespace tamarackspan::gateway {

namespace {

/// A query that was sent to one host is forwarded to another no later than this after sending. The first host sends no second requests to leafs for a little
/// longer, so that by then it knows that the query was forwarded elsewhere, and both together keep within the operation's attempts.
constexpr auto maxForwardAgainDelay = absl::Milliseconds(20);

} // namespace

auto chooseNeighbour(std::span<const NeighbourCondition> hosts, std::size_t start, absl::Time now) -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>();
    for (auto step = std::size_t{0}; step < hosts.size(); ++step) {
        const auto at = (start + step) % hosts.size();
        if (now >= hosts[at].avoidUntil && (!best.has_value() || hosts[at].inFlight < hosts[*best].inFlight)) {
            best = at;
        }
    }
    return best;
}

auto mayForwardAgain(const ForwardedQuery &query, absl::Time now) -> bool
{
    if (query.acknowledged) {
        return false;
    }
    return !query.sentAt.has_value() || (query.repeatable && query.attemptsUsed + 1 < query.attempts && now - *query.sentAt <= maxForwardAgainDelay);
}

} // namespace tamarackspan::gateway
