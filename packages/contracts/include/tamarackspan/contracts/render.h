#pragma once

#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/contracts/host_list.h"
#include "tamarackspan/contracts/service.h"

#include <string>

namespace tamarackspan::contracts {

/// Returns the canonical TOML of a contract: equal contracts give equal texts, and parseContract turns the text into an equal contract again.
[[nodiscard]] auto toToml(const Contract &contract) -> std::string;

/// Returns the canonical TOML of a service.
[[nodiscard]] auto toToml(const Service &service) -> std::string;

/// Returns the canonical TOML of a host list.
[[nodiscard]] auto toToml(const HostList &list) -> std::string;

} // namespace tamarackspan::contracts
