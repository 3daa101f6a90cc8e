#include "tamarackspan/membership/roster.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::membership;

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto listOf(const std::vector<std::string> &names) -> contracts::HostList
{
    auto list = contracts::HostList();
    for (const auto &name : names) {
        list.hosts.push_back({base::HostId(name), false});
    }
    return list;
}

// Confirms one list every second, with all witnesses holding it.
auto confirmFor(RosterState &state, std::uint64_t revision, const contracts::HostList &list, absl::Time from, absl::Duration over) -> absl::Time
{
    auto now = from;
    for (; now <= from + over; now += absl::Seconds(1)) {
        recordList(state, {base::Revision(revision), list, now}, now, absl::ZeroDuration());
        for (const auto &host : list.hosts) {
            recordWitness(state, {host.id, base::Revision(revision), now}, now);
        }
    }
    return now - absl::Seconds(1);
}

auto share(const RosterState &state, std::uint32_t total, absl::Time now) -> std::uint32_t
{
    return currentShare(state, total, "customer/rate", absl::ZeroDuration(), now).units;
}

class Roster : public testing::Test
{
protected:
    RosterState state{base::HostId("a"), {}, {}, {}};
    contracts::HostList pair = listOf({"a", "b"});
    absl::Duration window = growthWindow({}, absl::ZeroDuration());
};

TEST_F(Roster, NewProcessWaitsForTheWholeWindow)
{
    const auto now = confirmFor(this->state, 1, this->pair, start, this->window - absl::Seconds(1));
    EXPECT_EQ(share(this->state, 10, now), 0U);
    const auto later = confirmFor(this->state, 1, this->pair, now + absl::Seconds(1), absl::ZeroDuration());
    EXPECT_EQ(share(this->state, 10, later), 5U);
}

TEST_F(Roster, ShrinksAtOnceAndGrowsAfterTheWindow)
{
    auto now = confirmFor(this->state, 1, this->pair, start, this->window);
    now = confirmFor(this->state, 2, listOf({"a", "b", "c", "d", "e"}), now + absl::Seconds(1), absl::ZeroDuration());
    EXPECT_EQ(share(this->state, 10, now), 2U);
    now = confirmFor(this->state, 3, listOf({"a"}), now + absl::Seconds(1), this->window - absl::Seconds(1));
    EXPECT_EQ(share(this->state, 10, now), 2U);
    now = confirmFor(this->state, 3, listOf({"a"}), now + absl::Seconds(1), absl::ZeroDuration());
    EXPECT_EQ(share(this->state, 10, now), 10U);
}

TEST_F(Roster, HasNoShareAfterTheLeaseAndRestartsTheWindow)
{
    const auto now = confirmFor(this->state, 1, this->pair, start, this->window);
    const auto lease = this->state.config.lease;
    EXPECT_EQ(share(this->state, 10, now + lease - absl::Nanoseconds(1)), 5U);
    EXPECT_EQ(share(this->state, 10, now + lease), 0U);
    const auto resumed = confirmFor(this->state, 1, this->pair, now + lease + absl::Seconds(1), absl::ZeroDuration());
    EXPECT_EQ(share(this->state, 10, resumed), 0U);
    EXPECT_EQ(share(this->state, 10, confirmFor(this->state, 1, this->pair, resumed, this->window)), 5U);
}

TEST_F(Roster, WitnessesConfirmTheListWhileThePlatformIsCutOff)
{
    auto now = confirmFor(this->state, 1, this->pair, start, this->window);
    for (auto i = 0; i < 60; ++i) {
        now += absl::Seconds(1);
        recordWitness(this->state, {base::HostId("b"), base::Revision(1), now}, now);
        ASSERT_EQ(share(this->state, 10, now), 5U);
    }
}

TEST_F(Roster, AWitnessOfANewerListConfirmsNothing)
{
    auto now = confirmFor(this->state, 1, this->pair, start, this->window);
    for (auto i = 0; i < 10; ++i) {
        now += absl::Seconds(1);
        recordWitness(this->state, {base::HostId("b"), base::Revision(2), now}, now);
    }
    EXPECT_EQ(share(this->state, 10, now), 0U);
}

// The list is staler than assumed: a removed host keeps its share for as long as reads return the old list to it, and for one lease after that. The sum exceeds
// the limit by at most that host's share.
TEST_F(Roster, AListStalerThanAssumedExceedsTheLimitByTheShareOfTheRemovedHost)
{
    const auto published = confirmFor(this->state, 1, this->pair, start, this->window);
    const auto next = listOf({"b", "c"});
    auto newcomer = RosterState{base::HostId("c"), {}, {}, {}};
    const auto actualLag = this->window + absl::Seconds(30);
    auto worst = std::uint32_t{0};
    for (auto now = published; now < published + actualLag; now += absl::Seconds(1)) {
        recordList(this->state, {base::Revision(1), this->pair, now}, now, absl::ZeroDuration());
        confirmFor(newcomer, 2, next, now, absl::ZeroDuration());
        worst = std::max(worst, share(this->state, 10, now) + 5 + share(newcomer, 10, now));
        ASSERT_LE(share(this->state, 10, now) + share(newcomer, 10, now), 10U);
    }
    EXPECT_EQ(worst, 15U);
    const auto end = published + actualLag - absl::Seconds(1) + this->state.config.lease;
    EXPECT_EQ(share(this->state, 10, end), 0U);
}

TEST_F(Roster, OlderListsAreIgnored)
{
    const auto now = confirmFor(this->state, 5, this->pair, start, this->window);
    recordList(this->state, {base::Revision(4), listOf({"a"}), now}, now, absl::ZeroDuration());
    EXPECT_EQ(newestRevision(this->state), base::Revision(5));
    EXPECT_EQ(*newestList(this->state), this->pair);
    EXPECT_EQ(share(this->state, 10, now), 5U);
}

} // namespace
