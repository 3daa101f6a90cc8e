#pragma once

#include "tamarackspan/base/ids.h"

#include <vector>

namespace tamarackspan::contracts {

/// One host as the platform lists it.
struct ListedHost
{
    base::HostId id;
    /// The platform intends to remove the host.
    bool leaving = false;

    friend auto operator==(const ListedHost &, const ListedHost &) -> bool = default;
    friend auto operator<=>(const ListedHost &, const ListedHost &) = default;
};

/// The hosts of one data centre as the platform lists them: the value "hosts/<data centre>". May lag behind the hosts that actually run.
struct HostList
{
    base::DataCentre dataCentre;
    /// In ascending order of the host's id, each once.
    std::vector<ListedHost> hosts;

    friend auto operator==(const HostList &, const HostList &) -> bool = default;
};

} // namespace tamarackspan::contracts
