#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::transport {

/// An IP address and a port. Host names aren't resolved.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator==(const Endpoint &, const Endpoint &) -> bool = default;
};

/// Parses "10.0.0.1:7000" or "[::1]:7000". For anything else returns InvalidArgument with the expected form.
[[nodiscard]] auto parseEndpoint(std::string_view text) -> absl::StatusOr<Endpoint>;

/// Formats an endpoint in the form that parseEndpoint accepts.
[[nodiscard]] auto toString(const Endpoint &endpoint) -> std::string;

} // namespace tamarackspan::transport
