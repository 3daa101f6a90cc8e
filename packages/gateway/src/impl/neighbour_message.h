#pragma once

#include "tamarackspan/http/message_reader.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace tamarackspan::gateway::impl {

/// Headers to the host that a query is forwarded to: how much of the caller's time is used, in microseconds, and how many attempts.
inline constexpr auto usedTimeHeader = "Tamarackspan-Used-Time";
inline constexpr auto usedAttemptsHeader = "Tamarackspan-Used-Attempts";
/// Header to the host that forwarded a query: which data centres are cut off, if the query was refused for that.
inline constexpr auto outOfReachHeader = "Tamarackspan-Out-Of-Reach";

/// Returns the request that forwards a query to another host, with the caller's time and the attempts that are used.
[[nodiscard]] auto forwardedRequest(const http::StreamMessage &message, absl::Duration used, std::uint32_t attemptsUsed) -> std::string;

} // namespace tamarackspan::gateway::impl
