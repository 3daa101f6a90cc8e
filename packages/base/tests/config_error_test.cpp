#include "tamarackspan/base/config_error.h"

#include <gtest/gtest.h>

namespace {

using tamarackspan::base::ConfigError;
using tamarackspan::base::toString;

TEST(ConfigError, NamesPathLineColumnAndKey)
{
    const auto error = ConfigError{{"a.toml", 3, 7}, "limits.burst", "expected a number"};
    EXPECT_EQ(toString(error), "a.toml:3:7: limits.burst: expected a number");
}

TEST(ConfigError, LeavesOutWhatIsUnknown)
{
    EXPECT_EQ(toString(ConfigError{{"a.toml", 0, 0}, "", "can't be read"}), "a.toml: can't be read");
    EXPECT_EQ(toString(ConfigError{{}, "listen", "is missing"}), "listen: is missing");
}

} // namespace
