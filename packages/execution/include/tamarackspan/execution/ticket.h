#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/result.h"
#include "tamarackspan/execution/sip_hash.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::execution {

/// The right to have one request run, at most once, by the process incarnation that issued it.
struct Ticket
{
    /// The host whose process issued it.
    base::HostId host;
    base::Incarnation incarnation;
    /// Unique within the incarnation.
    std::uint64_t number = 0;
    /// On the issuer's monotonic clock, so only the issuer can tell whether it has passed.
    absl::Time expiry;
    /// A hash of everything else under the issuer's secret.
    std::uint64_t check = 0;

    friend auto operator==(const Ticket &, const Ticket &) -> bool = default;
};

/// Why a text isn't a ticket.
struct TicketError
{
    std::string message;

    friend auto operator==(const TicketError &, const TicketError &) -> bool = default;
};

/// Returns the ticket as a text that fits a header field: host, incarnation, number, expiry and check with commas between them.
[[nodiscard]] auto toString(const Ticket &ticket) -> std::string;

/// Reads what toString wrote. Says nothing on whether the ticket was ever issued.
[[nodiscard]] auto parseTicket(std::string_view text) -> base::Result<Ticket, TicketError>;

/// Returns the check that a genuine ticket with these contents has.
[[nodiscard]] auto checkOf(const Ticket &ticket, HashKey secret) -> std::uint64_t;

} // namespace tamarackspan::execution
