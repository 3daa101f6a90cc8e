#include "tamarackspan/admission/budget.h"
#include "tamarackspan/admission/token_bucket.h"
#include "tamarackspan/base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::admission;

const auto start = absl::UnixEpoch() + absl::Hours(1);

TEST(DataCentreBudget, PartsAddUpToExactlyTheLimit)
{
    EXPECT_TRUE(rc::check([] {
        auto contract = contracts::Contract();
        contract.limits = {*rc::gen::inRange<std::uint32_t>(0, 5000), *rc::gen::inRange<std::uint32_t>(0, 50), *rc::gen::inRange<std::uint32_t>(0, 500)};
        auto left = std::uint32_t{1000};
        for (const auto *name : {"a", "b", "c"}) {
            contract.dataCentrePermille[base::DataCentre(name)] = *rc::gen::inRange<std::uint32_t>(0, left + 1);
            left -= contract.dataCentrePermille[base::DataCentre(name)];
        }
        contract.dataCentrePermille[base::DataCentre("d")] = left;
        auto sum = Budget();
        for (const auto &[name, permille] : contract.dataCentrePermille) {
            sum = sum + dataCentreBudget(contract, name);
        }
        RC_ASSERT(sum == (Budget{contract.limits.requestsPerSecond, contract.limits.burst, contract.limits.concurrency}));
        RC_ASSERT(isEmpty(dataCentreBudget(contract, base::DataCentre("unnamed"))));
    }));
}

TEST(TokenBucket, StartsEmptyAndGrowsNoTokensFromNewBurst)
{
    auto bucket = TokenBucket();
    setSchedule(bucket, {{start + absl::Hours(1), {10, 5, 1}}}, start);
    EXPECT_FALSE(takeToken(bucket, start));
    EXPECT_EQ(timeToToken(bucket, start), absl::Milliseconds(100));
    EXPECT_TRUE(takeToken(bucket, start + absl::Milliseconds(100)));
    setSchedule(bucket, {{start + absl::Hours(1), {10, 50, 1}}}, start + absl::Milliseconds(100));
    EXPECT_FALSE(takeToken(bucket, start + absl::Milliseconds(100)));
}

// Moves a limit's units between three buckets and takes all available tokens; returns the most that was taken above burst + rate * time.
auto overshootOfMovedUnits(std::uint64_t seed, bool startEmpty) -> double
{
    auto random = base::Random(seed);
    auto now = start;
    auto reference = TokenBucket{{{absl::InfiniteFuture(), {30, 9, 1}}}, 9, now};
    auto buckets = std::vector<TokenBucket>(3, TokenBucket{{}, 0, now, startEmpty});
    auto worst = 0.0;
    for (auto i = 0; i < 300; ++i) {
        now += absl::Milliseconds(random.below(50));
        const auto rate = static_cast<std::uint32_t>(random.below(31));
        const auto burst = static_cast<std::uint32_t>(random.below(10));
        const auto from = random.below(3);
        // Budget is removed from one bucket before it is added to another.
        setSchedule(buckets[(from + 1) % 3], {}, now);
        setSchedule(buckets[(from + 2) % 3], {{absl::InfiniteFuture(), {0, 0, 1}}}, now);
        setSchedule(buckets[from], {{absl::InfiniteFuture(), {rate, burst, 1}}}, now);
        setSchedule(buckets[(from + 1) % 3], {{absl::InfiniteFuture(), {30 - rate, 9 - burst, 1}}}, now);
        refill(reference, now);
        for (auto &bucket : buckets) {
            while (takeToken(bucket, now)) {
                reference.tokens -= 1;
            }
        }
        worst = std::max(worst, -reference.tokens);
    }
    return worst;
}

TEST(TokenBucket, UnitsMovedBetweenBucketsNeverLetMoreThrough)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        RC_ASSERT(overshootOfMovedUnits(seed, true) < 1e-6);
    }));
    EXPECT_GT(overshootOfMovedUnits(1, false), 1.0);
}

TEST(TokenBucket, EarnsOnlyWhileABudgetIsInForce)
{
    auto bucket = TokenBucket();
    setSchedule(bucket, {{start + absl::Seconds(1), {10, 50, 1}}, {start + absl::Seconds(2), {1, 3, 1}}}, start);
    refill(bucket, start + absl::Seconds(2) - absl::Nanoseconds(1));
    EXPECT_LE(bucket.tokens, 3.0);
    EXPECT_FALSE(takeToken(bucket, start + absl::Seconds(2)));
}

} // namespace
