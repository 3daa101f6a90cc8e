#include "tamarackspan/gateway/reachability_decision.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::gateway;

constexpr auto options = ReachabilityOptions();
constexpr auto tick = absl::Milliseconds(10);

/// Simulates a host that sends a request to one of the data centre's leafs each tick, in turn, and advances the reachability each tick. Returns when the data
/// centre counts as cut off; infinite if it doesn't within three seconds.
auto simulateUnresponsive(std::size_t leafs, bool hostsReply) -> absl::Duration
{
    auto reach = DataCentreReachability();
    const auto begin = absl::UnixEpoch();
    for (auto at = std::size_t{0}; at < 300; ++at) {
        const auto now = begin + static_cast<std::int64_t>(at) * tick;
        reach = afterRequest(reach, 1 + at % leafs, now);
        const auto step = advanceReachability(reach, options, now);
        reach = step.next;
        if (reach.cutOff) {
            return now - begin;
        }
        if (step.probe && hostsReply) {
            reach = DataCentreReachability();
        }
    }
    return absl::InfiniteDuration();
}

TEST(ReachabilityDecision, AnUnresponsiveDataCentreIsCutOffAfterProbesStayUnanswered)
{
    EXPECT_EQ(simulateUnresponsive(6, false), options.suspectAfter + options.probeTimeout);
}

TEST(ReachabilityDecision, UnresponsiveLeafsAreNotCutOffWhileHostsReply)
{
    EXPECT_EQ(simulateUnresponsive(6, true), absl::InfiniteDuration());
}

TEST(ReachabilityDecision, AFewUnresponsiveLeafsAreNotCutOff)
{
    EXPECT_EQ(simulateUnresponsive(DataCentreReachability::minUnresponsiveLeafs - 1, false), absl::InfiniteDuration());
}

TEST(ReachabilityDecision, AHostThatWasPausedProbesBeforeItDecides)
{
    const auto begin = absl::UnixEpoch();
    auto reach = DataCentreReachability();
    for (auto leaf = std::uintptr_t{1}; leaf <= 6; ++leaf) {
        reach = afterRequest(reach, leaf, begin);
    }
    const auto step = advanceReachability(reach, options, begin + absl::Seconds(20));
    EXPECT_TRUE(step.probe);
    EXPECT_FALSE(step.next.cutOff);
}

TEST(ReachabilityDecision, APeerReportIsCheckedByProbesAtOnce)
{
    const auto now = absl::UnixEpoch();
    const auto step = advanceReachability(afterPeerReport({}, options, now), options, now);
    EXPECT_TRUE(step.probe);
    EXPECT_FALSE(step.next.cutOff);
    EXPECT_TRUE(advanceReachability(step.next, options, now + options.probeTimeout).next.cutOff);
}

TEST(ReachabilityDecision, ACutOffDataCentreIsProbedUntilItReplies)
{
    auto reach = DataCentreReachability{.cutOff = true};
    auto probes = 0;
    for (auto at = 0; at < 100; ++at) {
        const auto step = advanceReachability(reach, options, absl::UnixEpoch() + at * tick);
        probes += step.probe ? 1 : 0;
        reach = step.next;
    }
    EXPECT_EQ(probes, 10);
    EXPECT_TRUE(reach.cutOff);
}

TEST(Readiness, AMinorityThatCanServeLittleReportsUnready)
{
    EXPECT_TRUE(shouldReportUnready({.hostsInReach = 2, .allHosts = 8, .servable = 0.4}));
    EXPECT_TRUE(shouldReportUnready({.hostsInReach = 1, .allHosts = 8, .servable = 0.0}));
}

TEST(Readiness, OthersStayReady)
{
    EXPECT_FALSE(shouldReportUnready({.hostsInReach = 2, .allHosts = 8, .servable = 0.9}));
    // Both halves of a fleet, and a host that knows no others.
    EXPECT_FALSE(shouldReportUnready({.hostsInReach = 4, .allHosts = 8, .servable = 0.0}));
    EXPECT_FALSE(shouldReportUnready({.hostsInReach = 1, .allHosts = 1, .servable = 0.0}));
}

} // namespace
