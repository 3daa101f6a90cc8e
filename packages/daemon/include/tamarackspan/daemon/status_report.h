#pragma once

#include "tamarackspan/daemon/control.h"

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackspan::daemon {

/// Returns how this host is: identity, readiness, configuration and its freshness, host list, lease, links.
[[nodiscard]] auto statusJson(Control &control) -> nlohmann::ordered_json;

/// Returns every accepted and rejected document with its revision.
[[nodiscard]] auto configurationJson(const Control &control) -> nlohmann::ordered_json;

/// Returns the cost reports that this host made and holds, by incarnation.
[[nodiscard]] auto costsJson(const Control &control) -> nlohmann::ordered_json;

/// Returns the audit trail, oldest entry first.
[[nodiscard]] auto auditJson(const Control &control) -> nlohmann::ordered_json;

/// Returns the limits that follow from a customer's contract here and why; an object with "error" if there is no contract.
[[nodiscard]] auto explainCustomerJson(const Control &control, const std::string &customer) -> nlohmann::ordered_json;

/// Returns who owns a leaf of a service and what this host may use of it; an object with "error" if it isn't known.
[[nodiscard]] auto explainLeafJson(const Control &control, const std::string &service, const std::string &leaf) -> nlohmann::ordered_json;

} // namespace tamarackspan::daemon
