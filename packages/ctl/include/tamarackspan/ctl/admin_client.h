#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace tamarackspan::ctl {

/// The HTTP answer from a host's admin address.
struct AdminAnswer
{
    std::uint32_t status = 0;
    std::string body;

    friend auto operator==(const AdminAnswer &, const AdminAnswer &) -> bool = default;
};

/// Sends one request to the admin address "IP:PORT" and waits at most 5 s for the answer. Returns InvalidArgument if the address is malformed, Unavailable with
/// the reason if no complete answer arrived.
[[nodiscard]] auto sendAdminRequest(const std::string &address, const std::string &method, const std::string &path) -> absl::StatusOr<AdminAnswer>;

/// Percent-encodes everything but letters, digits and "-._~" for a URL's query.
[[nodiscard]] auto percentEncode(const std::string &text) -> std::string;

} // namespace tamarackspan::ctl
