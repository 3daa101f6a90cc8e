#pragma once

#include "absl/time/time.h"

namespace tamarackspan::base {

/// Returns the time of a clock that never steps back and counts on while the process or the machine is suspended. Its zero is the machine's start, so the
/// value means nothing on another host: only differences do.
[[nodiscard]] auto monotonicNow() -> absl::Time;

} // namespace tamarackspan::base
