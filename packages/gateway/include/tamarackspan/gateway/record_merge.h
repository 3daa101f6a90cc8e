#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace tamarackspan::gateway {

/// Size in bytes of one record in a shard's answer; part of the leafs' published format.
inline constexpr auto recordBytes = std::size_t{16};

/// Returns the `count` greatest records of all parts, greatest first, compared byte by byte as unsigned values. Equal records are all kept. Bytes at the end of
/// a part that are shorter than a record are ignored.
[[nodiscard]] auto mergeGreatest(std::span<const std::string_view> parts, std::size_t count) -> std::string;

} // namespace tamarackspan::gateway
