#pragma once

#include "tamarackspan/admission/lending.h"
#include "tamarackspan/configuration/exchange.h"
#include "tamarackspan/wire/inner_generated.h"

#include "absl/time/time.h"

namespace tamarackspan::daemon {

/// Convert the messages of configuration exchange to and from the inner protocol.
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

/// Convert the messages of budget lending to and from the inner protocol.
[[nodiscard]] auto toWire(const admission::BudgetRequest &request) -> wire::BudgetAskT;
[[nodiscard]] auto fromWire(const wire::BudgetAskT &request) -> admission::BudgetRequest;
[[nodiscard]] auto toWire(const admission::BudgetGrant &grant) -> wire::BudgetGrantT;
[[nodiscard]] auto fromWire(const wire::BudgetGrantT &grant) -> admission::BudgetGrant;
[[nodiscard]] auto toWire(const admission::BudgetReturn &budgetReturn) -> wire::BudgetReturnT;
[[nodiscard]] auto fromWire(const wire::BudgetReturnT &budgetReturn) -> admission::BudgetReturn;

/// Convert a duration to and from microseconds; the greatest value stands for an infinite duration.
[[nodiscard]] auto toMicros(absl::Duration duration) noexcept -> std::uint64_t;
[[nodiscard]] auto fromMicros(std::uint64_t micros) noexcept -> absl::Duration;

} // namespace tamarackspan::daemon
