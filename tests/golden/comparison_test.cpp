#include "golden_file.h"
#include "normalise.h"

#include <gtest/gtest.h>

namespace tamarackspan::golden {

namespace {

TEST(Comparison, AnyChangedLineIsADifference)
{
    EXPECT_EQ(firstDifference("a\nb\n", "a\nb\n"), "");
    EXPECT_EQ(firstDifference("a\nb\n", "a\nc\n"), "line 2\nexpected: b\nfound:    c");
    EXPECT_EQ(firstDifference("a\n", "a\nb\n"), "line 2\nexpected: \nfound:    b");
    EXPECT_EQ(firstDifference("a", ""), "line 1\nexpected: a\nfound:    ");
}

TEST(Comparison, RulesReplaceNothingButTheValueTheyName)
{
    EXPECT_EQ(normalise("\"confirmed_ms_ago\": 17,\n\"documents\": 4", {}), "\"confirmed_ms_ago\": <ms>,\n\"documents\": 4");
    EXPECT_EQ(normalise("{\"leaf_requests\":2,\"leaf_micros\":2012}", {}), "{\"leaf_requests\":2,\"leaf_micros\":<micros>}");
    EXPECT_EQ(normalise("127.0.0.1:70001 127.0.0.1:7000", {{"127.0.0.1:7000", "<a>"}, {"127.0.0.1:70001", "<b>"}}), "<b> <a>");
    EXPECT_EQ(normalise("  from peer  by x\n", {}), "  from <source>  by x\n");
}

} // namespace

} // namespace tamarackspan::golden
