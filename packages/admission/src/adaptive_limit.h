#pragma once

#include "tamarackspan/admission/admission.h"

namespace tamarackspan::admission::impl {

/// Updates the latency of the operation and the concurrency limit after a request has ended.
auto learnFromCompletion(AdmissionState &state, OperationTimes &times, absl::Duration latency) -> void;

} // namespace tamarackspan::admission::impl
