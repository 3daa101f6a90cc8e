#include "tamarackspan/admission/own_share.h"

namespace tamarackspan::admission {

auto ownShare(const membership::RosterState &roster, const base::CustomerName &customer, const Budget &shared, absl::Duration maxRequestDuration,
              absl::Time now) -> OwnShare
{
    const auto &key = customer.get();
    const auto rate = membership::currentShare(roster, shared.rate, key, absl::ZeroDuration(), now);
    const auto burst = membership::currentShare(roster, shared.burst, key, absl::ZeroDuration(), now);
    const auto concurrency = membership::currentShare(roster, shared.concurrency, key, maxRequestDuration, now);
    return {{rate.units, burst.units, concurrency.units}, rate.validUntil};
}

} // namespace tamarackspan::admission
