#pragma once

#include "absl/time/time.h"

namespace tamarackspan::base {

/// Returns the time of a clock that never steps back and keeps counting while the process or the machine is suspended. Its epoch is the start of the machine,
/// so that only differences between values of the same host are meaningful.
[[nodiscard]] auto monotonicNow() -> absl::Time;

} // namespace tamarackspan::base
