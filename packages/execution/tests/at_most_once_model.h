#pragma once

#include "tamarackspan/base/random.h"
#include "tamarackspan/execution/ticket_book.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarackspan::execution::test {

/// Which host runs a request.
enum class Placement {
    /// The incarnation that issued the request's ticket.
    Tickets,
    /// The host that a hash of the caller's key names, out of the hosts that the receiving host believes in.
    HashedKey,
};

/// What a run of the model found.
struct Verdict
{
    std::uint64_t requests = 0;
    std::uint64_t ranOnce = 0;
    /// Requests that the leaf ran more than once.
    std::uint64_t ranTwice = 0;
    /// Requests of which a caller was told "not run" and that were run, before or after.
    std::uint64_t falseNotRun = 0;
    /// Requests whose body wasn't the one that the caller was told of.
    std::uint64_t wrongBody = 0;
    std::uint64_t unknownOutcomes = 0;

    friend auto operator==(const Verdict &, const Verdict &) -> bool = default;
};

/// Plays random bookings against a few hosts: callers retry through any host with the same or a changed body or a damaged ticket, replies get lost, hosts are
/// killed and replaced, pause past the expiry of tickets, ask a clock out of order, and two groups of them have different views of the host list.
auto playBookings(Placement placement, const Safeguards &safeguards, std::uint64_t seed, int steps) -> Verdict;

} // namespace tamarackspan::execution::test
