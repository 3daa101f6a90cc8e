#include "tamarackspan/admission/token_bucket.h"

#include <algorithm>

namespace tamarackspan::admission {

namespace {

auto accrue(double tokens, const Budget &budget, absl::Duration over) -> double
{
    const auto kept = std::min(tokens, static_cast<double>(budget.burst));
    return std::min(kept + budget.rate * absl::ToDoubleSeconds(over), static_cast<double>(budget.burst));
}

} // namespace

auto refill(TokenBucket &bucket, absl::Time now) -> void
{
    if (now < bucket.updatedAt) {
        return;
    }
    auto from = bucket.updatedAt;
    for (const auto &step : bucket.schedule) {
        const auto to = std::min(now, step.until);
        if (to > from) {
            bucket.tokens = accrue(bucket.tokens, step.budget, to - from);
            from = to;
        }
    }
    bucket.tokens = std::min(bucket.tokens, static_cast<double>(budgetAt(bucket.schedule, now).burst));
    bucket.updatedAt = now;
}

auto setSchedule(TokenBucket &bucket, const BudgetSchedule &schedule, absl::Time now) -> void
{
    refill(bucket, now);
    const auto before = budgetAt(bucket.schedule, now).burst;
    const auto after = budgetAt(schedule, now).burst;
    if (!bucket.startEmpty && after > before) {
        bucket.tokens += after - before;
    }
    bucket.schedule = schedule;
    bucket.updatedAt = std::max(bucket.updatedAt, now);
    bucket.tokens = std::min(bucket.tokens, static_cast<double>(after));
}

auto takeToken(TokenBucket &bucket, absl::Time now) -> bool
{
    refill(bucket, now);
    if (bucket.tokens < 1 || isEmpty(budgetAt(bucket.schedule, now))) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

auto timeToToken(const TokenBucket &bucket, absl::Time now) -> absl::Duration
{
    const auto budget = budgetAt(bucket.schedule, now);
    if (budget.rate == 0 || budget.burst == 0) {
        return absl::InfiniteDuration();
    }
    return absl::Seconds(std::max(0.0, 1 - bucket.tokens) / budget.rate);
}

} // namespace tamarackspan::admission
