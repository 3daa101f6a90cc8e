#pragma once

#include "tamarackspan/admission/budget.h"
#include "tamarackspan/base/ids.h"
#include "tamarackspan/membership/roster.h"

#include "absl/time/time.h"

namespace tamarackspan::admission {

/// The own part of a customer's budget, from the host list.
struct OwnPart
{
    Budget budget;
    /// Nothing is left of it from this time on.
    absl::Time until = absl::InfinitePast();

    friend auto operator==(const OwnPart &, const OwnPart &) -> bool = default;
};

/// Returns this host's own part of what its data centre shares. The kinds of unit fall to the same hosts, so that few units of each can be used together.
/// `hold` is the longest that a request of the customer runs.
[[nodiscard]] auto ownPart(const membership::RosterState &roster, const base::CustomerName &customer, const Budget &shared, absl::Duration hold, absl::Time now)
    -> OwnPart;

} // namespace tamarackspan::admission
