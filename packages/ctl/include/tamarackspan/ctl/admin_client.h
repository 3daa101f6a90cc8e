#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace tamarackspan::ctl {

/// What a host's admin address answered.
struct AdminAnswer
{
    std::uint32_t status = 0;
    std::string body;

    friend auto operator==(const AdminAnswer &, const AdminAnswer &) -> bool = default;
};

/// Sends one request to the admin address "IP:PORT" and waits for the answer, 5 s at most. InvalidArgument if the address isn't one, Unavailable with the
/// reason if no whole answer came.
[[nodiscard]] auto askHost(const std::string &address, const std::string &method, const std::string &path) -> absl::StatusOr<AdminAnswer>;

/// Returns the text with everything but letters, digits and "-._~" escaped for a URL's query.
[[nodiscard]] auto escapeArgument(const std::string &text) -> std::string;

} // namespace tamarackspan::ctl
