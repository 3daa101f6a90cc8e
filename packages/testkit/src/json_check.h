#pragma once

#include "nlohmann/json.hpp"

#include <cstdint>

namespace tamarackspan::testkit::impl {

/// True if the value is a non-negative integer, whether it is stored as signed or unsigned.
[[nodiscard]] inline auto isNonNegativeInteger(const nlohmann::json &value) -> bool
{
    return value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

} // namespace tamarackspan::testkit::impl
