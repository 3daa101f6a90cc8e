#pragma once

#include <cstdint>
#include <string_view>

namespace tamarackspan::execution {

/// The 128-bit key of sipHash().
struct HashKey
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    friend auto operator==(const HashKey &, const HashKey &) -> bool = default;
};

/// Returns SipHash-2-4 of the bytes: the same on every host and in every version. Without the key, finding a text with a given hash is infeasible.
[[nodiscard]] auto sipHash(HashKey key, std::string_view bytes) noexcept -> std::uint64_t;

} // namespace tamarackspan::execution
