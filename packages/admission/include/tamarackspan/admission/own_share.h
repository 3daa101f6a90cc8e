#pragma once

#include "tamarackspan/admission/budget.h"
#include "tamarackspan/base/ids.h"
#include "tamarackspan/membership/roster.h"

#include "absl/time/time.h"

namespace tamarackspan::admission {

/// This host's own share of a customer's budget, derived from the host list.
struct OwnShare
{
    Budget budget;
    /// The share expires at this time.
    absl::Time until = absl::InfinitePast();

    friend auto operator==(const OwnShare &, const OwnShare &) -> bool = default;
};

/// Returns this host's own share of the budget that its data centre shares. Units of all kinds are assigned to the same hosts, so that few units of each kind
/// can be used together. `maxRequestDuration` is the longest that a request of the customer runs.
[[nodiscard]] auto ownShare(const membership::RosterState &roster, const base::CustomerName &customer, const Budget &shared, absl::Duration maxRequestDuration,
                            absl::Time now) -> OwnShare;

} // namespace tamarackspan::admission
