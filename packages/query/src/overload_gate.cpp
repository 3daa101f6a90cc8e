#include "tamarackspan/query/overload_gate.h"

#include <algorithm>

namespace tamarackspan::query {

namespace {

auto runningAgainst(const OverloadGate &gate, contracts::Priority priority) -> std::uint32_t
{
    const auto urgent = gate.running[static_cast<std::size_t>(contracts::Priority::Urgent)];
    const auto routine = gate.running[static_cast<std::size_t>(contracts::Priority::Routine)];
    return priority == contracts::Priority::Urgent ? urgent : urgent + routine;
}

} // namespace

auto enterGate(OverloadGate &gate, contracts::Priority priority) -> bool
{
    if (runningAgainst(gate, priority) + 1 > gate.limit) {
        return false;
    }
    ++gate.running.at(static_cast<std::size_t>(priority));
    return true;
}

auto leaveGate(OverloadGate &gate, const GateReport &report, absl::Time now) -> void
{
    const auto inUse = runningAgainst(gate, contracts::Priority::Routine) + 1 >= gate.limit;
    auto &running = gate.running.at(static_cast<std::size_t>(report.priority));
    running -= running > 0 ? 1 : 0;
    if (!report.complete || report.latency > report.timeLimit * gate.policy.slowFraction) {
        // Queries that started before the last cut provide no information about the reduced limit.
        if (now - report.latency >= gate.lastCutAt) {
            gate.limit = std::max(gate.policy.minLimit, gate.limit * gate.policy.cutFactor);
            gate.lastCutAt = now;
        }
    } else if (inUse) {
        gate.limit += 1 / gate.limit;
    }
}

} // namespace tamarackspan::query
