#include "impl/neighbour_message.h"

#include "tamarackspan/gateway/gateway.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace tamarackspan::gateway {

namespace impl {

auto forwardedRequest(const http::StreamMessage &message, absl::Duration used, std::uint32_t attemptsUsed) -> std::string
{
    auto text = absl::StrCat(message.method, " ", message.target, " HTTP/1.1\r\n", usedTimeHeader, ": ", absl::ToInt64Microseconds(used), "\r\n",
                             usedAttemptsHeader, ": ", attemptsUsed, "\r\n");
    for (const auto &header : http::endToEndHeaders(message.headers)) {
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
    absl::StrAppend(&text, "Content-Length: ", message.body.size(), "\r\n\r\n", message.body);
    return text;
}

} // namespace impl

auto arrivalOf(const http::StreamMessage &message, const http::RequestOrigin &origin, bool fromNeighbour) -> Arrival
{
    // The caller's time begins with its connection: opening a new one takes one more round trip.
    auto arrival = Arrival{.timeUsed = origin.roundTrip * (origin.firstOnConnection ? 2 : 1), .forwarded = fromNeighbour};
    const auto *const field = fromNeighbour ? http::findHeader(message.headers, impl::usedTimeHeader) : nullptr;
    auto micros = std::int64_t{0};
    if (field != nullptr && absl::SimpleAtoi(*field, &micros) && micros >= 0) {
        arrival.timeUsed = origin.roundTrip + absl::Microseconds(micros);
    }
    const auto *const attempts = fromNeighbour ? http::findHeader(message.headers, impl::usedAttemptsHeader) : nullptr;
    if (attempts != nullptr && !absl::SimpleAtoi(*attempts, &arrival.attemptsUsed)) {
        arrival.attemptsUsed = 0;
    }
    return arrival;
}

} // namespace tamarackspan::gateway
