#include "tamarackspan/gateway/decisions/reachability_decision.h"

#include "tamarackspan/base/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

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

TEST(ReachabilityDecision, APeerThatReachesACutOffDataCentreCausesAProbeAtOnce)
{
    const auto now = absl::UnixEpoch();
    const auto reach = DataCentreReachability{.nextProbeAt = now + absl::Seconds(20), .cutOff = true};
    EXPECT_FALSE(advanceReachability(afterPeerStatement(reach, true, options, now), options, now).probe);
    EXPECT_TRUE(advanceReachability(afterPeerStatement(reach, false, options, now), options, now).probe);
    EXPECT_EQ(afterPeerStatement({}, false, options, now), DataCentreReachability());
}

/// The hosts of a data centre that is cut off from all others. Each is asked by a caller at some time, can serve only what needs no other data centre, and
/// finds that out by itself half a second later.
struct CutOffFleet
{
    struct Host
    {
        DataCentreReachability reach{};
        PeerDemands peers{};
        /// When a request shows it that another data centre doesn't answer; infinite if no caller comes.
        absl::Time asksAt = absl::InfiniteFuture();
        absl::Time unreadySince = absl::InfiniteFuture();
    };

    /// Each host that detects the cut tells this many others, chosen at random.
    std::size_t announcements = 8;
    std::vector<Host> hosts{};
    std::size_t probes = 0;

    explicit CutOffFleet(std::size_t count)
    {
        // As on kolkhida-span-large: a fifth of the hosts is asked by nobody, the others once within six seconds.
        auto random = tamarackspan::base::Random(20261205);
        for (auto at = std::size_t{0}; at < count; ++at) {
            this->hosts.push_back({.asksAt = at % 5 == 4 ? absl::InfiniteFuture() : absl::UnixEpoch() + absl::Milliseconds(random.below(6000))});
        }
    }

    auto play(absl::Duration length) -> void
    {
        auto random = tamarackspan::base::Random(7);
        auto settings = options;
        settings.cutOffProbeInterval = cutOffProbeInterval(this->hosts.size());
        for (auto now = absl::UnixEpoch(); now < absl::UnixEpoch() + length; now += tick) {
            for (auto at = std::size_t{0}; at < this->hosts.size(); ++at) {
                auto &host = this->hosts[at];
                for (auto leaf = std::uintptr_t{1}; host.asksAt <= now && leaf <= DataCentreReachability::minUnresponsiveLeafs; ++leaf) {
                    host.reach = afterRequest(host.reach, leaf, host.asksAt);
                }
                const auto step = advanceReachability(host.reach, settings, now);
                const auto detected = step.next.cutOff && !host.reach.cutOff;
                host.reach = step.next;
                this->probes += step.probe ? 1 : 0;
                const auto own = RequestDemand{.asked = host.asksAt <= now ? 1.0 : 0.0};
                for (auto told = std::size_t{0}; detected && told < this->announcements; ++told) {
                    auto &other = this->hosts[random.below(this->hosts.size())];
                    other.reach = afterPeerStatement(other.reach, true, settings, now);
                    other.peers[std::to_string(at)] = {.demand = statedDemand(own, host.peers, now), .statedAt = now};
                }
                const auto servable = host.reach.cutOff ? servableShare(own, host.peers, now) : 1.0;
                if (shouldReportUnready({.hostsInReach = 1, .allHosts = 5, .servable = servable})) {
                    host.unreadySince = std::min(host.unreadySince, now);
                }
            }
        }
    }

    /// Returns after which time no host takes callers any more.
    [[nodiscard]] auto lastUnready() const -> absl::Duration
    {
        auto last = absl::ZeroDuration();
        for (const auto &host : this->hosts) {
            last = std::max(last, host.unreadySince - absl::UnixEpoch());
        }
        return last;
    }
};

TEST(Readiness, AllHostsOfACutOffDataCentreLeaveTheirCallersToOthersSoon)
{
    auto fleet = CutOffFleet(39);
    fleet.play(absl::Seconds(7));
    EXPECT_LE(fleet.lastUnready(), absl::Seconds(2));
    auto silent = CutOffFleet(39);
    silent.announcements = 0;
    silent.play(absl::Seconds(7));
    EXPECT_EQ(silent.lastUnready(), absl::InfiniteDuration());
}

TEST(ReachabilityDecision, ManyHostsTogetherProbeACutOffDataCentreNoMoreThanAFew)
{
    auto fleet = CutOffFleet(525);
    fleet.play(absl::Seconds(5));
    const auto before = fleet.probes;
    fleet.play(absl::Seconds(10));
    EXPECT_LE(fleet.probes - before, 300);
}

TEST(Readiness, AHostWithoutCallersFollowsTheFreshStatementsOfItsPeers)
{
    const auto now = absl::UnixEpoch();
    const auto peers = PeerDemands{{"a", {.demand = {.asked = 3.0, .served = 1.0}, .statedAt = now}}, {"b", {.demand = {.asked = 1.0}, .statedAt = now}}};
    EXPECT_DOUBLE_EQ(servableShare({}, peers, now), 0.25);
    EXPECT_DOUBLE_EQ(servableShare({.asked = 4.0, .served = 3.0}, peers, now), 0.5);
    EXPECT_DOUBLE_EQ(servableShare({}, peers, now + absl::Seconds(10)), 1.0);
    EXPECT_DOUBLE_EQ(servableShare({}, {}, now), 1.0);
    // It passes their share on with little weight, and its own demand as it is.
    EXPECT_DOUBLE_EQ(statedDemand({}, peers, now).served / statedDemand({}, peers, now).asked, 0.25);
    EXPECT_LT(statedDemand({}, peers, now).asked, 1.0);
    EXPECT_EQ(statedDemand({.asked = 4.0, .served = 3.0}, peers, now), (RequestDemand{.asked = 4.0, .served = 3.0}));
    EXPECT_EQ(statedDemand({}, {}, now), RequestDemand());
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
