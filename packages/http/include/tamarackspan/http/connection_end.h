#pragma once

#include <cstddef>
#include <string>

namespace tamarackspan::http {

/// How a connection ended before the response to a request was complete.
struct ConnectionEnd
{
    /// The system's error (errno); 0 if the server closed its side in an orderly way.
    int systemError = 0;
    /// Bytes of the response's header fields and body that had been received; interim responses don't count.
    std::size_t receivedBytes = 0;
    /// Bytes of the request that hadn't been given to the system.
    std::size_t unsentBytes = 0;

    friend auto operator==(const ConnectionEnd &, const ConnectionEnd &) -> bool = default;
};

/// Returns whether a response had begun, so that its rest is missing.
[[nodiscard]] auto isCutOff(const ConnectionEnd &end) noexcept -> bool;

/// Returns the system's description of the error, or "orderly end".
[[nodiscard]] auto errorText(const ConnectionEnd &end) -> std::string;

} // namespace tamarackspan::http
