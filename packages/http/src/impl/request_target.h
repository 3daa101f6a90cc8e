#pragma once

#include "tamarackspan/http/message_reader.h"

namespace tamarackspan::http::impl {

/// Converts an absolute target such as "http://host/path" to its origin form "/path"; the host that it names replaces the Host field (RFC 9112, 3.2.2). Leaves
/// any other target as it is. Returns false if the target names no host, or if the request doesn't have exactly one Host field.
[[nodiscard]] auto toOriginForm(StreamMessage &request) -> bool;

} // namespace tamarackspan::http::impl
