#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace tamarackspan::gateway {

/// State of a weighted round robin between two choices; one value for each alternative.
struct WeightedRoundRobin
{
    std::vector<double> credits{};

    friend auto operator==(const WeightedRoundRobin &, const WeightedRoundRobin &) -> bool = default;
};

/// Returns the next alternative of a weighted round robin: over any run of choices each is chosen close to its share of the weights. Weights must not be
/// negative; the state is reset when the number of alternatives changes. Returns 0 for no alternatives.
[[nodiscard]] auto chooseWeighted(WeightedRoundRobin &state, std::span<const double> weights) -> std::size_t;

} // namespace tamarackspan::gateway
