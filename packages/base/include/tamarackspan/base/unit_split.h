#pragma once

#include <cstdint>

namespace tamarackspan::base {

/// Splits `total` whole units over `members` members and returns the share of the member with the given index. Units that don't divide evenly go to the members
/// from `first` on, wrapping around, so that the sum over all members is exactly `total`. Returns 0 if there are no members or the index is out of range.
[[nodiscard]] auto unitShare(std::uint32_t total, std::uint32_t members, std::uint32_t index, std::uint32_t first) noexcept -> std::uint32_t;

} // namespace tamarackspan::base
