#include "tamarackspan/admission/own_part.h"

namespace tamarackspan::admission {

auto ownPart(const membership::RosterState &roster, const base::CustomerName &customer, const Budget &shared, absl::Duration maxRequestDuration, absl::Time now)
    -> OwnPart
{
    const auto &key = customer.get();
    const auto rate = membership::partInForce(roster, shared.rate, key, absl::ZeroDuration(), now);
    const auto burst = membership::partInForce(roster, shared.burst, key, absl::ZeroDuration(), now);
    const auto concurrency = membership::partInForce(roster, shared.concurrency, key, maxRequestDuration, now);
    return {{rate.units, burst.units, concurrency.units}, rate.until};
}

} // namespace tamarackspan::admission
