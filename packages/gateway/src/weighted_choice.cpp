#include "tamarackspan/gateway/weighted_choice.h"

#include <algorithm>
#include <numeric>

namespace tamarackspan::gateway {

auto nextTurn(WeightedTurns &state, std::span<const double> weights) -> std::size_t
{
    if (state.due.size() != weights.size()) {
        state.due.assign(weights.size(), 0.0);
    }
    if (weights.empty()) {
        return 0;
    }
    for (auto at = std::size_t{0}; at < weights.size(); ++at) {
        state.due[at] += weights[at];
    }
    const auto chosen = static_cast<std::size_t>(std::ranges::max_element(state.due) - state.due.begin());
    state.due[chosen] -= std::accumulate(weights.begin(), weights.end(), 0.0);
    return chosen;
}

} // namespace tamarackspan::gateway
