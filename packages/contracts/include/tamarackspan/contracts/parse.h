#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/base/result.h"
#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/contracts/host_list.h"
#include "tamarackspan/contracts/service.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::contracts {

/// Every fault found in a text, at most maxReportedErrors, in the order of the text; never empty when returned as an error.
using ConfigErrors = std::vector<base::ConfigError>;

/// Reads a contract from TOML. Depends on the text alone, so that each host accepts or rejects it alike. Unknown keys are errors. `path` names the text in
/// errors and is read from nowhere.
[[nodiscard]] auto parseContract(std::string_view text, std::string path) -> base::Result<Contract, ConfigErrors>;

/// Reads a service from TOML, under the same rules as parseContract.
[[nodiscard]] auto parseService(std::string_view text, std::string path) -> base::Result<Service, ConfigErrors>;

/// Reads a host list from TOML, under the same rules as parseContract.
[[nodiscard]] auto parseHostList(std::string_view text, std::string path) -> base::Result<HostList, ConfigErrors>;

} // namespace tamarackspan::contracts
