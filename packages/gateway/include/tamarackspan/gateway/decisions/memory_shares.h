#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarackspan::gateway {

/// How many bytes of answers a host may hold for those who haven't read them.
struct MemoryShares
{
    std::size_t callerAnswers = SIZE_MAX;
    std::size_t neighbourAnswers = SIZE_MAX;
    /// For one connection of either kind.
    std::size_t connectionAnswers = SIZE_MAX;

    friend auto operator==(const MemoryShares &, const MemoryShares &) -> bool = default;
};

/// Returns the shares of the memory that the process may use, in bytes; no bounds if it is 0, since the limit is unknown.
[[nodiscard]] auto memoryShares(std::size_t memoryBytes) noexcept -> MemoryShares;

} // namespace tamarackspan::gateway
