#pragma once

#include "tamarackspan/admission/lending.h"
#include "tamarackspan/configuration/exchange.h"
#include "tamarackspan/wire/inner_generated.h"

#include "absl/time/time.h"

namespace tamarackspan::daemon {

/// Return the messages of configuration exchange as they go over the inner protocol, and back.
[[nodiscard]] auto toWire(const configuration::ConfigDigest &digest) -> wire::ConfigDigestT;
[[nodiscard]] auto fromWire(const wire::ConfigDigestT &digest) -> configuration::ConfigDigest;
[[nodiscard]] auto toWire(const configuration::ConfigListRequest &request) -> wire::ConfigListRequestT;
[[nodiscard]] auto fromWire(const wire::ConfigListRequestT &request) -> configuration::ConfigListRequest;
[[nodiscard]] auto toWire(const configuration::ConfigList &list) -> wire::ConfigListT;
[[nodiscard]] auto fromWire(const wire::ConfigListT &list) -> configuration::ConfigList;
[[nodiscard]] auto toWire(const configuration::ConfigFetch &fetch) -> wire::ConfigFetchT;
[[nodiscard]] auto fromWire(const wire::ConfigFetchT &fetch) -> configuration::ConfigFetch;
[[nodiscard]] auto toWire(const configuration::ConfigDocuments &documents) -> wire::ConfigDocumentsT;
[[nodiscard]] auto fromWire(const wire::ConfigDocumentsT &documents) -> configuration::ConfigDocuments;

/// Return the messages of budget lending as they go over the inner protocol, and back.
[[nodiscard]] auto toWire(const admission::BudgetAsk &ask) -> wire::BudgetAskT;
[[nodiscard]] auto fromWire(const wire::BudgetAskT &ask) -> admission::BudgetAsk;
[[nodiscard]] auto toWire(const admission::BudgetGrant &grant) -> wire::BudgetGrantT;
[[nodiscard]] auto fromWire(const wire::BudgetGrantT &grant) -> admission::BudgetGrant;
[[nodiscard]] auto toWire(const admission::BudgetReturn &giveBack) -> wire::BudgetReturnT;
[[nodiscard]] auto fromWire(const wire::BudgetReturnT &giveBack) -> admission::BudgetReturn;

/// Returns a duration as microseconds, the greatest value for an infinite one, and back.
[[nodiscard]] auto toMicros(absl::Duration duration) noexcept -> std::uint64_t;
[[nodiscard]] auto fromMicros(std::uint64_t micros) noexcept -> absl::Duration;

} // namespace tamarackspan::daemon
