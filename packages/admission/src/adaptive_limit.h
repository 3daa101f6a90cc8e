#pragma once

#include "tamarackspan/admission/admission.h"

namespace tamarackspan::admission::impl {

/// Learns from a request that has ended: how long its operation takes, and how many requests may run at once.
auto learnFromEnd(AdmissionState &state, OperationTimes &times, absl::Duration took) -> void;

} // namespace tamarackspan::admission::impl
