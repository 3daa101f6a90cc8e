#include "tamarackspan/gateway/decisions/extra_request_budget.h"

#include <algorithm>
#include <numeric>

namespace tamarackspan::gateway {

namespace {

/// The share of the slack for the coordinators, that is the hosts that run queries over shards, if others forward their queries to them; the rest is for those
/// others, which send requests to shards when no host accepts a query.
constexpr auto coordinatorShare = 0.5;

} // namespace

auto slackShare(double slack, const QuotaHosts &hosts) -> double
{
    const auto all = static_cast<double>(std::max<std::size_t>(hosts.quotaHostCount, 1));
    const auto coordinators = static_cast<double>(std::max<std::size_t>(hosts.coordinatorCount, 1));
    if (coordinators >= all) {
        return slack / all;
    }
    return hosts.isCoordinator ? slack * coordinatorShare / coordinators : slack * (1.0 - coordinatorShare) / all;
}

auto ExtraRequestBudget::advance(absl::Time now, absl::Duration length) -> void
{
    const auto slice = length / static_cast<std::int64_t>(slices - 1);
    if (length != this->window || now >= this->sliceEnd + length + slice) {
        this->requests.fill(0);
        this->extras.fill(0);
        this->window = length;
        this->sliceEnd = now + slice;
        return;
    }
    while (now >= this->sliceEnd) {
        this->current = (this->current + 1) % slices;
        this->requests[this->current] = 0;
        this->extras[this->current] = 0;
        this->sliceEnd += slice;
    }
}

auto ExtraRequestBudget::countRequest(absl::Time now) -> void
{
    this->advance(now, this->window);
    ++this->requests[this->current];
}

auto ExtraRequestBudget::available(absl::Time now, const ExtraRequestOptions &options) -> bool
{
    this->advance(now, options.window);
    // The oldest slice may lie partly outside the window: its extra requests still count, its requests no longer do.
    const auto oldest = (this->current + 1) % slices;
    const auto asked = std::accumulate(this->requests.begin(), this->requests.end(), 0U) - this->requests[oldest];
    const auto extra = std::accumulate(this->extras.begin(), this->extras.end(), 0U);
    return static_cast<double>(extra) + 1.0 <= options.ratio * static_cast<double>(asked) + options.slack;
}

auto ExtraRequestBudget::take(absl::Time now, const ExtraRequestOptions &options) -> bool
{
    if (!this->available(now, options)) {
        return false;
    }
    ++this->extras[this->current];
    return true;
}

} // namespace tamarackspan::gateway
