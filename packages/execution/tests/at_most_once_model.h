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
    /// The host chosen by a hash of the caller's key, among the hosts that the receiving host considers alive.
    HashedKey,
};

/// The results of one run of the model.
struct Verdict
{
    std::uint64_t requests = 0;
    std::uint64_t ranOnce = 0;
    /// Requests that the leaf ran more than once.
    std::uint64_t ranTwice = 0;
    /// Requests that a caller was told were not run, although they were run before or after.
    std::uint64_t falseNotRun = 0;
    /// Requests that were run with a different body from the one whose outcome the caller received.
    std::uint64_t wrongBody = 0;
    std::uint64_t unknownOutcomes = 0;

    friend auto operator==(const Verdict &, const Verdict &) -> bool = default;
};

/// Simulates random requests to a few hosts. Callers retry through any host with the same body, a changed body or a damaged ticket; replies get lost; hosts are
/// killed and replaced, pause past the expiry of tickets and read the clock out of order; and two groups of hosts have different views of the host list.
auto simulateRequests(Placement placement, const Safeguards &safeguards, std::uint64_t seed, int steps) -> Verdict;

} // namespace tamarackspan::execution::test
