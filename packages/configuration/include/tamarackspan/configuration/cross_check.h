#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/configuration/document.h"

#include <vector>

namespace tamarackspan::configuration {

/// Returns a fault for each operation whose service is not among the documents in a data centre that has a part of the contract's limits. Hosts accept such a
/// contract all the same, since documents arrive one by one, and refuse the operation until the service is there; operators should know before they publish.
[[nodiscard]] auto findMissingServices(const std::vector<DocumentValue> &documents) -> std::vector<base::ConfigError>;

} // namespace tamarackspan::configuration
