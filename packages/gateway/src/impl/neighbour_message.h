#pragma once

#include "tamarackspan/http/message_reader.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace tamarackspan::gateway::impl {

/// Tell the host that takes a query how much of the caller's time is used, in microseconds, and how many attempts.
inline constexpr auto usedTimeHeader = "Tamarackspan-Used-Time";
inline constexpr auto usedAttemptsHeader = "Tamarackspan-Used-Attempts";
/// Tells the host that handed a query on which data centres are out of reach, if the query was refused for that.
inline constexpr auto outOfReachHeader = "Tamarackspan-Out-Of-Reach";

/// Returns a query as it goes to another host, with the caller's time and the attempts that are used up.
[[nodiscard]] auto handedOnRequest(const http::StreamMessage &message, absl::Duration used, std::uint32_t attemptsUsed) -> std::string;

} // namespace tamarackspan::gateway::impl
