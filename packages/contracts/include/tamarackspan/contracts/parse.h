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

/// All errors found in a text, at most maxReportedErrors, in the order of the text; never empty when returned as an error.
using ConfigErrors = std::vector<base::ConfigError>;

/// Parses a contract from TOML. The result depends on the text alone, so that all hosts accept or reject the same texts. Unknown keys are errors. `path` only
/// names the text in errors; no file is read.
[[nodiscard]] auto parseContract(std::string_view text, std::string path) -> base::Result<Contract, ConfigErrors>;

/// Parses a service from TOML, under the same rules as parseContract.
[[nodiscard]] auto parseService(std::string_view text, std::string path) -> base::Result<Service, ConfigErrors>;

/// Parses a host list from TOML, under the same rules as parseContract.
[[nodiscard]] auto parseHostList(std::string_view text, std::string path) -> base::Result<HostList, ConfigErrors>;

} // namespace tamarackspan::contracts
