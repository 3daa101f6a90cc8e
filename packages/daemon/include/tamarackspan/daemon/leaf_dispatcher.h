#pragma once

#include "tamarackspan/daemon/leaf_work.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::daemon {

/// Identifies one piece of work that was handed to the traffic thread that owns its leaf.
struct LeafWorkHandle
{
    std::uint32_t thread = 0;
    std::uint64_t number = 0;

    friend auto operator==(const LeafWorkHandle &, const LeafWorkHandle &) -> bool = default;
};

/// Hands leaf requests to the traffic thread of this host that owns the leaf. Replies arrive on the thread that submitted the request.
struct LeafDispatcher
{
    std::function<LeafWorkHandle(LeafWork)> submit;
    std::function<void(LeafWorkHandle)> cancel;
};

} // namespace tamarackspan::daemon
