#include "tamarackspan/admission/admission.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::admission;

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto customer = base::CustomerName("customer");

auto request(std::uint64_t token, contracts::Priority priority, absl::Duration within) -> Request
{
    return {RequestToken(token), customer, base::OperationName("lookup"), priority, start + within};
}

auto reasonOf(const Decision &decision) -> RefusalReason
{
    return std::get<Refused>(decision).reason;
}

class Admission : public ::testing::Test
{
protected:
    auto SetUp() -> void override
    {
        this->state.config.minInFlight = 1;
        setBudget(this->state, customer, {{start + absl::Seconds(60), {1000, 100, 10}}}, start - absl::Seconds(1));
    }

    AdmissionState state = makeAdmission({.initialInFlight = 2});
};

TEST_F(Admission, RefusesWithoutBudgetAndOnceItHasRunOut)
{
    auto other = request(1, contracts::Priority::Urgent, absl::Seconds(1));
    other.customer = base::CustomerName("unknown");
    EXPECT_EQ(reasonOf(offer(this->state, other, start)), RefusalReason::NoBudget);
    const auto late = request(2, contracts::Priority::Urgent, absl::Seconds(90));
    EXPECT_EQ(reasonOf(offer(this->state, late, start + absl::Seconds(60))), RefusalReason::NoBudget);
}

TEST_F(Admission, RefusesAboveConcurrencyAndAboveRateWithARetryHint)
{
    this->state.inFlightLimit = 100;
    for (auto i = std::uint64_t{0}; i < 10; ++i) {
        ASSERT_TRUE(std::holds_alternative<Admitted>(offer(this->state, request(i, contracts::Priority::Routine, absl::Seconds(1)), start)));
    }
    EXPECT_EQ(reasonOf(offer(this->state, request(10, contracts::Priority::Routine, absl::Seconds(1)), start)), RefusalReason::Concurrency);
    for (auto i = std::uint64_t{0}; i < 10; ++i) {
        std::ignore = finished(this->state, RequestToken(i), start);
    }
    setBudget(this->state, customer, {{start + absl::Seconds(60), {2, 1, 10}}}, start);
    ASSERT_TRUE(std::holds_alternative<Admitted>(offer(this->state, request(11, contracts::Priority::Routine, absl::Seconds(1)), start)));
    const auto refused = std::get<Refused>(offer(this->state, request(12, contracts::Priority::Routine, absl::Seconds(1)), start));
    EXPECT_EQ(refused.reason, RefusalReason::Rate);
    EXPECT_EQ(refused.retryAfter, absl::Milliseconds(500));
}

TEST_F(Admission, UrgentLeavesTheQueueBeforeRoutine)
{
    for (auto i = std::uint64_t{1}; i <= 2; ++i) {
        ASSERT_TRUE(std::holds_alternative<Admitted>(offer(this->state, request(i, contracts::Priority::Routine, absl::Seconds(1)), start)));
    }
    ASSERT_TRUE(std::holds_alternative<Queued>(offer(this->state, request(3, contracts::Priority::Routine, absl::Seconds(1)), start)));
    ASSERT_TRUE(std::holds_alternative<Queued>(offer(this->state, request(4, contracts::Priority::Urgent, absl::Seconds(1)), start)));
    const auto decisions = finished(this->state, RequestToken(1), start + absl::Milliseconds(10));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front(), (DeferredDecision{RequestToken(4), Admitted{}}));
    EXPECT_TRUE(withdraw(this->state, RequestToken(3)));
    EXPECT_FALSE(withdraw(this->state, RequestToken(3)));
}

TEST_F(Admission, AQueuedRequestIsRefusedWhenItsDeadlineOrItsBudgetIsGone)
{
    for (auto i = std::uint64_t{1}; i <= 2; ++i) {
        ASSERT_TRUE(std::holds_alternative<Admitted>(offer(this->state, request(i, contracts::Priority::Routine, absl::Seconds(1000)), start)));
    }
    ASSERT_TRUE(std::holds_alternative<Queued>(offer(this->state, request(3, contracts::Priority::Urgent, absl::Seconds(1)), start)));
    ASSERT_TRUE(std::holds_alternative<Queued>(offer(this->state, request(4, contracts::Priority::Urgent, absl::Seconds(1000)), start)));
    const auto late = expire(this->state, start + absl::Seconds(2));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late.front().token, RequestToken(3));
    EXPECT_EQ(reasonOf(late.front().decision), RefusalReason::Deadline);
    const auto decisions = finished(this->state, RequestToken(1), start + absl::Seconds(60));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(reasonOf(decisions.front().decision), RefusalReason::NoBudget);
}

TEST_F(Admission, RefusesWhatCantEndInTimeButTriesAgainLater)
{
    ASSERT_TRUE(std::holds_alternative<Admitted>(offer(this->state, request(1, contracts::Priority::Routine, absl::Seconds(9)), start)));
    std::ignore = finished(this->state, RequestToken(1), start + absl::Seconds(1));
    const auto now = start + absl::Seconds(1);
    EXPECT_EQ(reasonOf(offer(this->state, request(2, contracts::Priority::Routine, absl::Milliseconds(1500)), now)), RefusalReason::Deadline);
    auto tries = 0;
    while (tries < 100 && !std::holds_alternative<Admitted>(offer(this->state, request(2, contracts::Priority::Routine, absl::Milliseconds(1500)), now))) {
        ++tries;
    }
    EXPECT_LT(tries, 50);
}

} // namespace
