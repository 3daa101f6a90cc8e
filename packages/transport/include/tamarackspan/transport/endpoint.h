#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::transport {

/// An IP address and a port. Names aren't resolved.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator==(const Endpoint &, const Endpoint &) -> bool = default;
};

/// Reads "10.0.0.1:7000" or "[::1]:7000". Returns InvalidArgument, naming what was expected, for anything else.
[[nodiscard]] auto parseEndpoint(std::string_view text) -> absl::StatusOr<Endpoint>;

/// Writes an endpoint as parseEndpoint reads it.
[[nodiscard]] auto toString(const Endpoint &endpoint) -> std::string;

} // namespace tamarackspan::transport
