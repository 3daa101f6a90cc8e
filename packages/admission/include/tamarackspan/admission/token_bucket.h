#pragma once

#include "tamarackspan/admission/budget.h"

namespace tamarackspan::admission {

/// Token bucket over a budget schedule. Starts empty. Added burst starts without tokens, and removed burst takes its tokens with it, so that buckets whose
/// budgets together never exceed a limit never admit more than one bucket with that limit would.
struct TokenBucket
{
    BudgetSchedule schedule;
    double tokens = 0;
    absl::Time updatedAt = absl::InfinitePast();
    /// False fills added burst with tokens at once. For tests that show what starting empty prevents.
    bool startEmpty = true;

    friend auto operator==(const TokenBucket &, const TokenBucket &) -> bool = default;
};

/// Adds the tokens earned up to now and drops those above the burst in force. A time before the last update changes nothing.
auto refill(TokenBucket &bucket, absl::Time now) -> void;

/// Replaces the budget schedule from now on.
auto setSchedule(TokenBucket &bucket, const BudgetSchedule &schedule, absl::Time now) -> void;

/// Takes one token. Returns false and takes nothing if there is none.
[[nodiscard]] auto takeToken(TokenBucket &bucket, absl::Time now) -> bool;

/// Returns how long it takes, at the rate in force, until a token is available; infinite if the rate or the burst is zero.
[[nodiscard]] auto timeToToken(const TokenBucket &bucket, absl::Time now) -> absl::Duration;

} // namespace tamarackspan::admission
