#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/daemon/caller_reply.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace tamarackspan::daemon {

/// Who a cost is charged to.
struct CostAccount
{
    base::CustomerName customer;
    base::OperationName operation;

    friend auto operator==(const CostAccount &, const CostAccount &) -> bool = default;
    friend auto operator<=>(const CostAccount &, const CostAccount &) = default;

    /// Makes accounts usable as keys of Abseil's hash containers.
    template<typename H>
    friend auto AbslHashValue(H state, const CostAccount &account) -> H
    {
        return H::combine(std::move(state), account.customer, account.operation);
    }
};

/// Why a leaf request was sent.
enum class LeafRequestKind {
    First,
    Extra,
};

/// Takes down what is to be charged and measured. Callable from any thread.
class Accounting
{
public:
    /// Charges one request that a leaf got, with the processor time that the leaf reported.
    auto chargeLeafRequest(const CostAccount &account, LeafRequestKind kind, bool cancelled, std::uint64_t costMicros) -> void;

    /// Takes down an answered request.
    auto countAnswer(const CostAccount &account, absl::Duration latency, std::uint32_t shards, std::uint32_t covered) -> void;

    /// Takes down a refused request.
    auto countRefusal(const CostAccount &account, RefusalKind kind) -> void;

    /// Counts an event of the given name, such as "crossed_replies".
    auto countEvent(const std::string &name, std::uint64_t times = 1) -> void;

private:
    struct Row
    {
        std::uint64_t requests = 0;
        std::uint64_t refusals = 0;
        std::uint64_t leafRequests = 0;
        std::uint64_t extraRequests = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t leafMicros = 0;
    };

    std::mutex mutex;
    std::map<CostAccount, Row> rows;
    std::map<std::string, std::uint64_t> events;
};

} // namespace tamarackspan::daemon
