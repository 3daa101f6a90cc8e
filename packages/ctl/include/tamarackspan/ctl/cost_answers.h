#pragma once

#include "tamarackspan/costs/cost_ledger.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// Reads the answer to `GET /costs`. InvalidArgument names the report and the member that is missing or wrong; nothing of such an answer is taken, since a sum
/// without it would be too small unnoticed.
[[nodiscard]] auto parseCostAnswer(const std::string &body) -> absl::StatusOr<std::vector<costs::CostReport>>;

} // namespace tamarackspan::ctl
