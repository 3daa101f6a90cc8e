#include "tamarackspan/base/unit_split.h"

namespace tamarackspan::base {

auto unitShare(std::uint32_t total, std::uint32_t members, std::uint32_t index, std::uint32_t first) noexcept -> std::uint32_t
{
    if (members == 0 || index >= members) {
        return 0;
    }
    const auto start = first % members;
    const auto distance = index >= start ? index - start : index + members - start;
    return total / members + (distance < total % members ? 1 : 0);
}

} // namespace tamarackspan::base
