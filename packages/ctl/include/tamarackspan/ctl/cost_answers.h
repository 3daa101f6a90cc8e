#pragma once

#include "tamarackspan/costs/cost_ledger.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// Parses the answer to `GET /costs`. InvalidArgument names the report and the member that is missing or wrong; such an answer is rejected as a whole, since a
/// sum over the rest would be too small without any sign of it.
[[nodiscard]] auto parseCostAnswer(const std::string &body) -> absl::StatusOr<std::vector<costs::CostReport>>;

} // namespace tamarackspan::ctl
