#pragma once

#include "absl/time/time.h"

namespace tamarackspan::gateway {

/// Detects that the process didn't run for a while: datagrams that arrived meanwhile look as if they had just been sent.
class PauseDetector
{
public:
    /// Records that the process runs; to be called regularly, much more often than every `maxGap`.
    auto tick(absl::Time now) -> void;

    /// Returns whether a datagram that is read now may have been waiting for longer than `maxGap`.
    [[nodiscard]] auto mayBeDelayed(absl::Time now) const -> bool;

    /// A longer time without a tick counts as a pause.
    static constexpr auto maxGap = absl::Milliseconds(300);
    /// How long after a pause datagrams count as delayed; by then all that waited have been read.
    static constexpr auto recovery = absl::Milliseconds(200);

private:
    absl::Time lastTick = absl::InfinitePast();
    absl::Time delayedUntil = absl::InfinitePast();
};

} // namespace tamarackspan::gateway
