#include "tamarackspan/execution/ticket.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <vector>

namespace tamarackspan::execution {

namespace {

constexpr auto separator = ',';
constexpr auto fieldCount = std::size_t{5};

auto contentsOf(const Ticket &ticket) -> std::string
{
    return absl::StrCat(ticket.host.get(), ",", absl::Hex(ticket.incarnation.get()), ",", absl::Hex(ticket.number), ",",
                        absl::Hex(static_cast<std::uint64_t>(absl::ToUnixNanos(ticket.expiry))));
}

auto readHex(absl::string_view text, std::uint64_t &value) -> bool
{
    // Accepts only what toString() writes, without sign, prefix, spaces or leading zeros, so that each ticket has exactly one text.
    const auto onlyHexDigits = text.find_first_not_of("0123456789abcdef") == absl::string_view::npos;
    const auto noLeadingZero = text.size() == 1 || (!text.empty() && text.front() != '0');
    return onlyHexDigits && noLeadingZero && absl::SimpleHexAtoi(text, &value);
}

} // namespace

auto toString(const Ticket &ticket) -> std::string
{
    return absl::StrCat(contentsOf(ticket), ",", absl::Hex(ticket.mac));
}

auto parseTicket(std::string_view text) -> base::Result<Ticket, TicketError>
{
    const auto fields = std::vector<absl::string_view>(absl::StrSplit(absl::string_view(text.data(), text.size()), separator));
    if (fields.size() != fieldCount || fields[0].empty()) {
        return TicketError{"expected a ticket of five fields with commas between them"};
    }
    auto incarnation = std::uint64_t{0};
    auto number = std::uint64_t{0};
    auto expiry = std::uint64_t{0};
    auto check = std::uint64_t{0};
    if (!readHex(fields[1], incarnation) || !readHex(fields[2], number) || !readHex(fields[3], expiry) || !readHex(fields[4], check)) {
        return TicketError{"expected hexadecimal numbers in the last four fields of a ticket"};
    }
    return Ticket{
        .host = base::HostId(std::string(fields[0])),
        .incarnation = base::Incarnation(incarnation),
        .number = number,
        .expiry = absl::FromUnixNanos(static_cast<std::int64_t>(expiry)),
        .mac = check,
    };
}

auto ticketMac(const Ticket &ticket, HashKey secret) -> std::uint64_t
{
    return sipHash(secret, contentsOf(ticket));
}

} // namespace tamarackspan::execution
