#include "tamarackspan/base/clock.h"

#include <gtest/gtest.h>

namespace {

TEST(Clock, NeverStepsBack)
{
    auto before = tamarackspan::base::monotonicNow();
    for (auto i = 0; i < 1000; ++i) {
        const auto now = tamarackspan::base::monotonicNow();
        ASSERT_GE(now, before);
        before = now;
    }
}

} // namespace
