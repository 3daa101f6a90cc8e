#include "tamarackspan/gateway/record_merge.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <vector>

namespace tamarackspan::gateway {

auto mergeGreatest(std::span<const std::string_view> parts, std::size_t count) -> std::string
{
    auto records = std::vector<std::string_view>();
    for (const auto part : parts) {
        for (auto at = std::size_t{0}; at + recordBytes <= part.size(); at += recordBytes) {
            records.push_back(part.substr(at, recordBytes));
        }
    }
    const auto kept = std::min(count, records.size());
    // std::string_view compares bytes as unsigned values.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater{});
    auto merged = std::string();
    merged.reserve(kept * recordBytes);
    for (auto at = std::size_t{0}; at < kept; ++at) {
        merged += records[at];
    }
    return merged;
}

} // namespace tamarackspan::gateway
