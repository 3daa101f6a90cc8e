#pragma once

#include "tamarackspan/base/ids.h"

namespace tamarackspan::daemon {

/// The identity of one run of the daemon.
struct HostIdentity
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentre dataCentre;

    friend auto operator==(const HostIdentity &, const HostIdentity &) -> bool = default;
};

/// Returns a random incarnation, never 0.
[[nodiscard]] auto makeIncarnation() -> base::Incarnation;

} // namespace tamarackspan::daemon
