#include "tamarackspan/gateway/decisions/pause_detector.h"

namespace tamarackspan::gateway {

auto PauseDetector::tick(absl::Time now) -> void
{
    if (now - this->lastTick > maxGap) {
        this->delayedUntil = now + recovery;
    }
    this->lastTick = now;
}

auto PauseDetector::mayBeDelayed(absl::Time now) const -> bool
{
    return now < this->delayedUntil || now - this->lastTick > maxGap;
}

} // namespace tamarackspan::gateway
