#pragma once

namespace tamarackspan::base {

/// Stops the process with the message on standard error if the condition doesn't hold. For broken invariants only: bad input and failures of other processes
/// are values.
auto require(bool condition, const char *message) noexcept -> void;

} // namespace tamarackspan::base
