#include "tamarackspan/base/clock.h"

#include <ctime>

namespace tamarackspan::base {

auto monotonicNow() -> absl::Time
{
    auto now = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

} // namespace tamarackspan::base
