#pragma once

#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/contracts/host_list.h"
#include "tamarackspan/contracts/service.h"

#include <string>
#include <vector>

namespace tamarackspan::contracts {

/// One key that differs between two documents. An empty value means that the key is absent.
struct Change
{
    /// The dotted key, such as "limits.burst" or "leafs.a1.leaving".
    std::string key;
    std::string before;
    std::string after;

    friend auto operator==(const Change &, const Change &) -> bool = default;
};

/// Returns the keys that differ between two contracts in ascending order; empty for equal contracts. A default-constructed contract stands for no document.
[[nodiscard]] auto diff(const Contract &before, const Contract &after) -> std::vector<Change>;

/// Returns the keys that differ between two services.
[[nodiscard]] auto diff(const Service &before, const Service &after) -> std::vector<Change>;

/// Returns the keys that differ between two host lists.
[[nodiscard]] auto diff(const HostList &before, const HostList &after) -> std::vector<Change>;

/// Returns "key: before -> after", with "(none)" for an absent value.
[[nodiscard]] auto toString(const Change &change) -> std::string;

} // namespace tamarackspan::contracts
