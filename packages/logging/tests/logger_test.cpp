#include "tamarackspan/logging/logger.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::logging;

TEST(Logger, ATextLineHasAFixedPrefixAndQuotesWhatNeedsIt)
{
    EXPECT_EQ(formatLine(Format::Text, "T", Level::Warning, "control", "document rejected", {{"key", "contracts/a"}, {"why", "no such\nkey"}}),
              "T warning control: document rejected key=contracts/a why=\"no such\\nkey\"");
}

TEST(Logger, AJsonLineHoldsEachFieldByName)
{
    EXPECT_EQ(formatLine(Format::Json, "T", Level::Info, "entry", "started", {{"port", 7}}),
              R"({"time":"T","level":"info","part":"entry","event":"started","port":"7"})");
}

TEST(Logger, BytesThatAreNoTextDoNoHarm)
{
    EXPECT_EQ(formatLine(Format::Text, "T", Level::Info, "a", "b", {{"c", std::string("\xFF x")}}), "T info a: b c=\"\xEF\xBF\xBD x\"");
}

} // namespace
