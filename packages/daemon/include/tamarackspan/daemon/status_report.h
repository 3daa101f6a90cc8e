#pragma once

#include "tamarackspan/daemon/control.h"

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackspan::daemon {

/// Returns the state of this host: identity, readiness, configuration and its freshness, host list, lease, links.
[[nodiscard]] auto statusJson(Control &control) -> nlohmann::ordered_json;

/// Returns every accepted and rejected document with its revision.
[[nodiscard]] auto configurationJson(const Control &control) -> nlohmann::ordered_json;

/// Returns this host's own and stored cost reports, by incarnation.
[[nodiscard]] auto costsJson(const Control &control) -> nlohmann::ordered_json;

/// Returns the audit trail, oldest entry first.
[[nodiscard]] auto auditJson(const Control &control) -> nlohmann::ordered_json;

/// Returns a customer's limits on this host and what they are derived from; an object with "error" if there is no contract.
[[nodiscard]] auto explainCustomerJson(const Control &control, const std::string &customer) -> nlohmann::ordered_json;

/// Returns the owners of a leaf of a service and this host's current share of it; an object with "error" if the service or the leaf is unknown.
[[nodiscard]] auto explainLeafJson(const Control &control, const std::string &service, const std::string &leaf) -> nlohmann::ordered_json;

} // namespace tamarackspan::daemon
