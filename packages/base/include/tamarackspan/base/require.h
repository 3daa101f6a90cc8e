#pragma once

namespace tamarackspan::base {

/// Aborts the process with the message on standard error if the condition is false. For broken invariants only: invalid input and failures of other processes
/// are returned as values.
auto require(bool condition, const char *message) noexcept -> void;

} // namespace tamarackspan::base
