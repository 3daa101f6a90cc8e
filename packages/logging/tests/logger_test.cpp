#include "tamarackspan/logging/logger.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::logging;

TEST(Logger, ATextLineHasAFixedPrefixAndQuotesValuesWithSpecialCharacters)
{
    EXPECT_EQ(formatLine(Format::Text, "T", Level::Warning, "control", "document rejected", {{"key", "contracts/a"}, {"why", "no such\nkey"}}),
              "T warning control: document rejected key=contracts/a why=\"no such\\nkey\"");
}

TEST(Logger, AJsonLineHoldsEachFieldByName)
{
    EXPECT_EQ(formatLine(Format::Json, "T", Level::Info, "entry", "started", {{"port", 7}}),
              R"({"time":"T","level":"info","part":"entry","event":"started","port":"7"})");
}

TEST(Logger, InvalidUtf8IsReplaced)
{
    EXPECT_EQ(formatLine(Format::Text, "T", Level::Info, "a", "b", {{"c", std::string("\xFF x")}}), "T info a: b c=\"\xEF\xBF\xBD x\"");
}

TEST(LogRateLimiter, LetsABurstThroughAndCountsTheRest)
{
    auto limit = LogRateLimiter(10, 5);
    const auto start = absl::UnixEpoch();
    auto written = 0;
    for (auto count = 0; count < 20; ++count) {
        written += limit.allow(start) ? 1 : 0;
    }
    EXPECT_EQ(written, 5);
    EXPECT_EQ(limit.takeDroppedCount(), 15);
    EXPECT_EQ(limit.takeDroppedCount(), 0);
    EXPECT_TRUE(limit.allow(start + absl::Milliseconds(100)));
    EXPECT_FALSE(limit.allow(start + absl::Milliseconds(100)));
}

TEST(LogRateLimiter, AClockThatStepsBackAddsAndRemovesNoTokens)
{
    auto limit = LogRateLimiter(10, 2);
    const auto start = absl::UnixEpoch() + absl::Hours(1);
    EXPECT_TRUE(limit.allow(start));
    EXPECT_TRUE(limit.allow(start - absl::Hours(1)));
    EXPECT_FALSE(limit.allow(start - absl::Hours(1)));
    EXPECT_TRUE(limit.allow(start));
}

TEST(LogRateLimiter, WithoutALimitEverythingIsWritten)
{
    auto limit = LogRateLimiter(0, 0);
    EXPECT_TRUE(limit.allow(absl::UnixEpoch()));
    EXPECT_EQ(limit.takeDroppedCount(), 0);
}

} // namespace
