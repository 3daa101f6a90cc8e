#pragma once

#include "tamarackspan/daemon/leaf_work.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::daemon {

/// Names one piece of work handed to the traffic thread that keeps its leaf.
struct LeafWorkHandle
{
    std::uint32_t thread = 0;
    std::uint64_t number = 0;

    friend auto operator==(const LeafWorkHandle &, const LeafWorkHandle &) -> bool = default;
};

/// Hands leaf requests to the traffic thread of this host that keeps the leaf. Replies come on the thread that asked.
struct LeafDispatcher
{
    std::function<LeafWorkHandle(LeafWork)> submit;
    std::function<void(LeafWorkHandle)> cancel;
};

} // namespace tamarackspan::daemon
