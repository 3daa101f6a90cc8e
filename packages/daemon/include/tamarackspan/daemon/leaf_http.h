#pragma once

#include "tamarackspan/contracts/service.h"
#include "tamarackspan/daemon/leaf_work.h"
#include "tamarackspan/http/request.h"
#include "tamarackspan/http/response.h"
#include "tamarackspan/routing/leaf_queue.h"

#include <cstdint>

namespace tamarackspan::daemon {

/// Returns the name of the connection pool of a leaf.
[[nodiscard]] auto leafPool(const contracts::Leaf &leaf) -> std::string;

/// Returns the HTTP request that runs a piece of work at its leaf, as in docs/LEAF-PROTOCOL.md. `replyGrace` is how much longer than the deadline the reply is
/// waited for, so that the host sees when the slot becomes free.
[[nodiscard]] auto leafRequest(const contracts::Leaf &leaf, std::uint32_t connections, const LeafWork &work, absl::Time now, absl::Duration replyGrace)
    -> http::Request;

/// Returns the HTTP request that cancels a piece of work at its leaf.
[[nodiscard]] auto cancelRequest(const contracts::Leaf &leaf, std::uint32_t connections, const std::string &requestName) -> http::Request;

/// Returns the HTTP request that reads a leaf's status.
[[nodiscard]] auto statusRequest(const contracts::Leaf &leaf, std::uint32_t connections) -> http::Request;

/// What a leaf's response means for the request and for the slot.
struct LeafResponse
{
    LeafWorkReply reply;
    routing::RunEnd end = routing::RunEnd::ConnectionLost;
    /// The response was to another request.
    bool crossed = false;
};

/// Reads the response to leafRequest.
[[nodiscard]] auto readLeafResponse(const LeafWork &work, const http::Response &response) -> LeafResponse;

} // namespace tamarackspan::daemon
