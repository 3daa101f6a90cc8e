#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/result.h"
#include "tamarackspan/execution/sip_hash.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::execution {

/// Permits one request to be run at most once, by the process incarnation that issued the ticket.
struct Ticket
{
    /// The host whose process issued the ticket.
    base::HostId host;
    base::Incarnation incarnation;
    /// Unique within the incarnation.
    std::uint64_t number = 0;
    /// On the issuer's monotonic clock, so only the issuer can tell whether the ticket has expired.
    absl::Time expiry;
    /// A keyed hash of all other fields under the issuer's secret.
    std::uint64_t mac = 0;

    friend auto operator==(const Ticket &, const Ticket &) -> bool = default;
};

/// Why a text can't be parsed as a ticket.
struct TicketError
{
    std::string message;

    friend auto operator==(const TicketError &, const TicketError &) -> bool = default;
};

/// Returns the ticket as a text that fits into a header field: host, incarnation, number, expiry and MAC, separated by commas.
[[nodiscard]] auto toString(const Ticket &ticket) -> std::string;

/// Parses the output of toString(). Doesn't check whether the ticket was ever issued.
[[nodiscard]] auto parseTicket(std::string_view text) -> base::Result<Ticket, TicketError>;

/// Returns the MAC of a genuine ticket with these fields.
[[nodiscard]] auto ticketMac(const Ticket &ticket, HashKey secret) -> std::uint64_t;

} // namespace tamarackspan::execution
