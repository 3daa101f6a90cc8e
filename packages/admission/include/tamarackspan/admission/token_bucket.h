#pragma once

#include "tamarackspan/admission/budget.h"

namespace tamarackspan::admission {

/// Counts what a rate and a burst allow. Starts empty. New burst starts without tokens and burst that is taken away takes its tokens along, so that buckets
/// whose budgets never exceed a limit together never let more through than that limit's own bucket would.
struct TokenBucket
{
    BudgetSchedule schedule;
    double tokens = 0;
    absl::Time updatedAt = absl::InfinitePast();
    /// False gives new burst its tokens at once. For tests that show what starting empty prevents.
    bool startEmpty = true;

    friend auto operator==(const TokenBucket &, const TokenBucket &) -> bool = default;
};

/// Adds the tokens that came up to now and drops those above the burst in force. A time before the last update changes nothing.
auto refill(TokenBucket &bucket, absl::Time now) -> void;

/// Replaces the budget to come.
auto setSchedule(TokenBucket &bucket, const BudgetSchedule &schedule, absl::Time now) -> void;

/// Takes one token. Returns false and takes nothing if there is none.
[[nodiscard]] auto takeToken(TokenBucket &bucket, absl::Time now) -> bool;

/// Returns how long it takes, at the rate in force, until a token is there; infinite if there is no rate or no burst.
[[nodiscard]] auto timeToToken(const TokenBucket &bucket, absl::Time now) -> absl::Duration;

} // namespace tamarackspan::admission
