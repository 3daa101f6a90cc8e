#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/result.h"

#include "absl/container/flat_hash_map.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::base;

TEST(StrongValue, ComparesAndHashesAsItsContent)
{
    EXPECT_EQ(LeafId("a"), LeafId("a"));
    EXPECT_LT(ShardId(1), ShardId(2));
    auto map = absl::flat_hash_map<LeafId, int>{{LeafId("a"), 1}};
    EXPECT_EQ(map.at(LeafId("a")), 1);
}

TEST(Result, HoldsAnswerOrError)
{
    const auto answer = Result<int, std::string>(7);
    const auto error = Result<int, std::string>(std::string("no"));
    EXPECT_TRUE(answer.ok());
    EXPECT_EQ(answer.value(), 7);
    EXPECT_FALSE(error.ok());
    EXPECT_EQ(error.error(), "no");
    EXPECT_THROW(std::ignore = error.value(), std::bad_variant_access);
}

} // namespace
