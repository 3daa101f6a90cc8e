#include "tamarackspan/gateway/decisions/warm_up_decision.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan::gateway;

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto step = absl::Milliseconds(10);

/// Hosts that all have requests for one cold leaf at any moment.
struct ColdLeaf
{
    std::string id;
    double perSecond = 4.0;
    std::size_t hosts = 20;
    /// How many hosts each of them knows of, itself included.
    std::size_t known = 20;
    WarmUpBounds bounds{};

    /// Returns the greatest number of requests in any second, and the number in all of them.
    [[nodiscard]] auto run(absl::Duration duration) const -> std::pair<std::size_t, std::size_t>
    {
        auto usedAt = std::vector<absl::Time>(this->hosts, absl::InfinitePast());
        auto sent = std::deque<absl::Time>();
        auto most = std::size_t{0};
        auto all = std::size_t{0};
        for (auto now = start; now < start + duration; now += step) {
            for (auto host = std::size_t{0}; host < this->hosts; ++host) {
                const auto share = WarmUpShare{.perSecond = this->perSecond,
                                               .hosts = this->known,
                                               .phase = warmUpPhase(absl::StrCat("host-", host), this->id, 17),
                                               .bounds = this->bounds};
                if (decideWarmUp(share, usedAt[host], now).granted) {
                    usedAt[host] = now;
                    sent.push_back(now);
                    ++all;
                }
            }
            while (!sent.empty() && sent.front() <= now - absl::Seconds(1)) {
                sent.pop_front();
            }
            most = std::max(most, sent.size());
        }
        return {most, all};
    }

    [[nodiscard]] auto bound() const -> std::size_t
    {
        return static_cast<std::size_t>(this->perSecond * this->bounds.excess + this->bounds.slack);
    }
};

// Hosts that didn't know of each other each took the whole limit, and the cold leaf crashed.
TEST(WarmUpDecision, HalvesThatDoNotKnowOfEachOtherStayWithinTheBound)
{
    for (const auto perSecond : {2.0, 4.0, 10.0}) {
        const auto leaf = ColdLeaf{.id = "i-1", .perSecond = perSecond, .known = 10};
        EXPECT_LE(leaf.run(absl::Minutes(1)).first, leaf.bound()) << perSecond;
    }
}

// All hosts learn of a cold leaf at once. With permissions valid for a quarter of the period, a quarter of all hosts asked it in the first moment.
TEST(WarmUpDecision, ManyHostsThatLearnOfAColdLeafAtOnceStayWithinTheBound)
{
    for (auto number = 0; number < 20; ++number) {
        const auto leaf = ColdLeaf{.id = absl::StrCat("i-", number), .hosts = 72, .known = 72};
        EXPECT_LE(leaf.run(absl::Seconds(30)).first, leaf.bound()) << leaf.id;
    }
}

// Guards against a limit that keeps the leaf nearly idle: it never became warm by its load, and the service lacked it.
TEST(WarmUpDecision, HostsUseAWorthwhilePartOfTheLimit)
{
    const auto leaf = ColdLeaf{.id = "i-1"};
    const auto all = leaf.run(absl::Minutes(2)).second;
    EXPECT_GE(static_cast<double>(all), 0.4 * leaf.perSecond * 120.0);
    EXPECT_LE(static_cast<double>(all), 0.7 * leaf.perSecond * 120.0 + 20.0);
}

TEST(WarmUpDecision, APermissionIsUsedOnceAndExpires)
{
    const auto share = WarmUpShare{.perSecond = 4.0, .hosts = 20, .phase = 12345};
    const auto begin = decideWarmUp(share, absl::InfinitePast(), start).from;
    ASSERT_GT(begin, start);
    EXPECT_TRUE(decideWarmUp(share, absl::InfinitePast(), begin + absl::Milliseconds(1)).granted);
    EXPECT_FALSE(decideWarmUp(share, begin, begin + absl::Milliseconds(1)).granted);
    const auto late = decideWarmUp(share, absl::InfinitePast(), begin + absl::Milliseconds(260));
    EXPECT_FALSE(late.granted);
    EXPECT_NEAR(absl::ToDoubleSeconds(late.from - begin), 20.0 / warmUpRate(4.0, {}), 0.001);
}

// The number of hosts has changed, so that a new period begins just after the permission of the old one was used.
TEST(WarmUpDecision, AChangedNumberOfHostsGrantsNoSecondPermissionAtOnce)
{
    for (auto hosts = std::size_t{1}; hosts < 40; ++hosts) {
        const auto share = WarmUpShare{.perSecond = 4.0, .hosts = hosts, .phase = 12345};
        const auto period = absl::Seconds(static_cast<double>(hosts) / warmUpRate(4.0, {}));
        for (auto now = start; now < start + period * 0.7; now += step) {
            EXPECT_FALSE(decideWarmUp(share, start, now).granted) << hosts;
        }
    }
}

TEST(WarmUpDecision, ExtremeLimitsNeitherDivideByZeroNorWaitForNothing)
{
    EXPECT_TRUE(decideWarmUp({.perSecond = 1e300}, absl::InfinitePast(), start).granted);
    EXPECT_FALSE(decideWarmUp({.perSecond = 1e-300}, absl::InfinitePast(), start).granted);
    EXPECT_FALSE(decideWarmUp({.perSecond = 4.0, .bounds = {.excess = 0.0, .slack = 0.0}}, absl::InfinitePast(), start).granted);
}

} // namespace
