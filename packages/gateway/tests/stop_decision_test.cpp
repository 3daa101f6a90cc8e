#include "tamarackspan/gateway/decisions/stop_decision.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::gateway;

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto request() -> StopView
{
    return {.now = start,
            .endsAt = start + absl::Seconds(2),
            .objectiveAt = start + absl::Seconds(1),
            .deadlineAt = start + absl::Seconds(15),
            .estimate = {.median = absl::Milliseconds(100), .p95 = absl::Milliseconds(200), .answers = 50}};
}

TEST(EndsInTime, EverythingDoesWhileTheHostIsNotStopping)
{
    auto view = request();
    view.endsAt = absl::InfiniteFuture();
    view.estimate.answers = 0;
    EXPECT_TRUE(endsInTime(view));
}

TEST(EndsInTime, ARequestThatUsuallyEndsBeforeTheHostIsServed)
{
    EXPECT_TRUE(endsInTime(request()));
}

TEST(EndsInTime, ARequestThatMayTakeLongerIsNot)
{
    auto view = request();
    view.estimate.p95 = absl::Seconds(1);
    EXPECT_FALSE(endsInTime(view));
    view.deadlineAt = start + absl::Milliseconds(1500);
    EXPECT_TRUE(endsInTime(view));
}

TEST(EndsInTime, WithoutAnyAnswerItsDeadlineDecides)
{
    auto view = request();
    view.estimate.answers = 0;
    EXPECT_FALSE(endsInTime(view));
    view.deadlineAt = start + absl::Seconds(1);
    EXPECT_TRUE(endsInTime(view));
}

TEST(EndsInTime, AQueryOverShardsEndsByItsObjective)
{
    auto view = request();
    view.gather = true;
    EXPECT_TRUE(endsInTime(view));
    view.objectiveAt = start + absl::Seconds(3);
    EXPECT_FALSE(endsInTime(view));
}

TEST(EndsInTime, NothingDoesOnceTheHostHasEnded)
{
    auto view = request();
    view.endsAt = start - absl::Milliseconds(1);
    EXPECT_FALSE(endsInTime(view));
}

} // namespace
