#include "tamarackspan/gateway/decisions/stop_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Multiple of the 95th percentile within which nearly all requests end.
constexpr auto slowRequestFactor = 2.0;
/// For queueing on this host and for sending the answer.
constexpr auto margin = absl::Milliseconds(100);

} // namespace

auto endsInTime(const StopView &view) -> bool
{
    const auto usual = view.gather ? view.objectiveAt : view.estimate.answers > 0 ? view.now + view.estimate.p95 * slowRequestFactor : view.deadlineAt;
    return std::min(usual, view.deadlineAt) + margin <= view.endsAt;
}

} // namespace tamarackspan::gateway
