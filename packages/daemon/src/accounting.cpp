#include "tamarackspan/daemon/accounting.h"

namespace tamarackspan::daemon {

auto Accounting::chargeLeafRequest(const CostAccount &account, LeafRequestKind kind, bool cancelled, std::uint64_t costMicros) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    auto &row = this->rows[account];
    ++row.leafRequests;
    row.extraRequests += kind == LeafRequestKind::Extra ? 1 : 0;
    row.cancelled += cancelled ? 1 : 0;
    row.leafMicros += costMicros;
}

auto Accounting::countAnswer(const CostAccount &account, absl::Duration /*latency*/, std::uint32_t /*shards*/, std::uint32_t /*covered*/) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    ++this->rows[account].requests;
}

auto Accounting::countRefusal(const CostAccount &account, RefusalKind /*kind*/) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    ++this->rows[account].refusals;
}

auto Accounting::countEvent(const std::string &name, std::uint64_t times) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->events[name] += times;
}

} // namespace tamarackspan::daemon
