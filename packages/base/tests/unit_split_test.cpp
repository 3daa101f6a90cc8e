#include "tamarackspan/base/unit_split.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using tamarackspan::base::unitShare;

TEST(UnitSplit, SumIsExactlyTheTotalForAnyNumberOfMembers)
{
    EXPECT_TRUE(rc::check([](std::uint32_t first) {
        const auto members = *rc::gen::inRange<std::uint32_t>(1, 200);
        const auto total = *rc::gen::inRange<std::uint32_t>(0, 5000);
        auto sum = std::uint32_t{0};
        for (auto i = std::uint32_t{0}; i < members; ++i) {
            sum += unitShare(total, members, i, first);
        }
        RC_ASSERT(sum == total);
    }));
}

TEST(UnitSplit, AnIndexOutOfRangeGetsNothing)
{
    EXPECT_EQ(unitShare(5, 0, 0, 0), 0U);
    EXPECT_EQ(unitShare(5, 3, 3, 0), 0U);
}

} // namespace
