#include "tamarackspan/gateway/decisions/weighted_choice.h"

#include <algorithm>
#include <numeric>

namespace tamarackspan::gateway {

auto chooseWeighted(WeightedRoundRobin &state, std::span<const double> weights) -> std::size_t
{
    if (state.credits.size() != weights.size()) {
        state.credits.assign(weights.size(), 0.0);
    }
    if (weights.empty()) {
        return 0;
    }
    for (auto at = std::size_t{0}; at < weights.size(); ++at) {
        state.credits[at] += weights[at];
    }
    const auto chosen = static_cast<std::size_t>(std::ranges::max_element(state.credits) - state.credits.begin());
    state.credits[chosen] -= std::accumulate(weights.begin(), weights.end(), 0.0);
    return chosen;
}

} // namespace tamarackspan::gateway
