#include "tamarackspan/query/overload_gate.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::query;
using tamarackspan::contracts::Priority;

constexpr auto start = absl::UnixEpoch();

auto report(Priority priority, absl::Duration latency, bool whole) -> GateReport
{
    return {priority, latency, absl::Milliseconds(100), whole};
}

TEST(OverloadGate, TurnsAwayRoutineQueriesFirst)
{
    auto gate = OverloadGate{};
    gate.limit = 2;
    EXPECT_TRUE(enterGate(gate, Priority::Routine));
    EXPECT_TRUE(enterGate(gate, Priority::Routine));
    EXPECT_FALSE(enterGate(gate, Priority::Routine));
    EXPECT_TRUE(enterGate(gate, Priority::Urgent));
    EXPECT_TRUE(enterGate(gate, Priority::Urgent));
    EXPECT_FALSE(enterGate(gate, Priority::Urgent));
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(1), true), start);
    EXPECT_FALSE(enterGate(gate, Priority::Routine));
}

TEST(OverloadGate, CutsOnceForEachRoundOfIncompleteOrSlowQueries)
{
    auto gate = OverloadGate{};
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(10), false), start);
    const auto cut = gate.limit;
    EXPECT_LT(cut, GatePolicy{}.initialLimit);
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(60), true), start + absl::Milliseconds(5));
    EXPECT_EQ(gate.limit, cut);
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(60), true), start + absl::Milliseconds(70));
    EXPECT_LT(gate.limit, cut);
}

TEST(OverloadGate, RisesOnlyWhileInUseAndNeverFallsBelowItsLeast)
{
    auto gate = OverloadGate{};
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(1), true), start);
    EXPECT_EQ(gate.limit, GatePolicy{}.initialLimit);
    gate.limit = 1.5;
    EXPECT_TRUE(enterGate(gate, Priority::Routine));
    leaveGate(gate, report(Priority::Routine, absl::Milliseconds(1), true), start);
    EXPECT_GT(gate.limit, 1.5);
    for (auto i = 1; i < 100; ++i) {
        leaveGate(gate, report(Priority::Routine, absl::Milliseconds(1), false), start + absl::Seconds(i));
    }
    EXPECT_EQ(gate.limit, GatePolicy{}.minLimit);
}

} // namespace
