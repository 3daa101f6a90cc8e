#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/configuration/document.h"

#include <vector>

namespace tamarackspan::configuration {

/// Returns an error for each operation whose service isn't among the documents, for each data centre that has a share of the contract's limits. Hosts accept
/// such a contract, since documents arrive one by one, and refuse the operation until the service is published. The check lets operators find the gap before
/// they publish.
[[nodiscard]] auto findMissingServices(const std::vector<DocumentValue> &documents) -> std::vector<base::ConfigError>;

} // namespace tamarackspan::configuration
