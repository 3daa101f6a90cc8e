#pragma once

#include "tamarackspan/transport/endpoint.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace tamarackspan::transport {

/// Opens a TCP socket that listens on the endpoint; port 0 takes any free one. Returns the descriptor, which the caller owns, or Unavailable.
[[nodiscard]] auto listenOn(const Endpoint &endpoint) -> absl::StatusOr<int>;

/// Starts a TCP connection without waiting for it. Returns the descriptor, which the caller owns, or Unavailable if the attempt fails at once.
[[nodiscard]] auto startConnect(const Endpoint &endpoint) -> absl::StatusOr<int>;

/// Returns the port that a socket is bound to; 0 on failure.
[[nodiscard]] auto boundPort(int fd) -> std::uint16_t;

/// Disables Nagle's algorithm (TCP_NODELAY), and lets the system fail the connection when sent data stays unacknowledged for the given time (TCP_USER_TIMEOUT).
auto tuneConnection(int fd, absl::Duration unacknowledgedTimeout) -> void;

} // namespace tamarackspan::transport
