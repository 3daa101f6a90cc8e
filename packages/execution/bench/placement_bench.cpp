#include "../tests/at_most_once_model.h"

#include "absl/time/clock.h"

#include <cstdio>

namespace {

using namespace tamarackspan::execution;
using test::Placement;
using test::Verdict;

constexpr auto seeds = std::uint64_t{2000};
constexpr auto steps = 400;
constexpr auto rounds = std::uint64_t{200'000};

auto play(const char *name, Placement placement, const Safeguards &safeguards) -> void
{
    auto sum = Verdict();
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        const auto one = test::simulateRequests(placement, safeguards, seed, steps);
        sum.requests += one.requests;
        sum.ranOnce += one.ranOnce;
        sum.ranTwice += one.ranTwice;
        sum.falseNotRun += one.falseNotRun;
        sum.wrongBody += one.wrongBody;
    }
    std::printf("%-28s %9llu %9llu %9llu %9llu %9llu\n", name, static_cast<unsigned long long>(sum.requests), static_cast<unsigned long long>(sum.ranOnce),
                static_cast<unsigned long long>(sum.ranTwice), static_cast<unsigned long long>(sum.falseNotRun),
                static_cast<unsigned long long>(sum.wrongBody));
}

auto timeBook() -> void
{
    const auto customer = tamarackspan::base::CustomerName("depot-booking");
    const auto operation = tamarackspan::base::OperationName("book-tray");
    auto book = makeTicketBook(tamarackspan::base::HostId("10.0.0.1:7000"), tamarackspan::base::Incarnation(1), {.first = 1, .second = 2},
                               {.capacity = rounds, .capacityPerCustomer = rounds});
    const auto now = absl::UnixEpoch();
    const auto start = absl::Now();
    auto runs = std::uint64_t{0};
    for (auto i = std::uint64_t{0}; i < rounds; ++i) {
        const auto ticket = issue(book, customer, operation, now).value();
        const auto result = begin(book, {.ticket = ticket, .customer = customer, .operation = operation, .digest = i}, now);
        runs += std::holds_alternative<Run>(result) ? 1U : 0U;
        finish(book, ticket, {.runState = RunState::Ran, .status = 200}, now);
    }
    const auto each = (absl::Now() - start) / static_cast<std::int64_t>(rounds);
    std::printf("issue, begin and finish: %.0f ns a booking with up to %llu entries\n", absl::ToDoubleNanoseconds(each), static_cast<unsigned long long>(runs));
}

} // namespace

auto main() -> int
{
    std::printf("seeds 1 to %llu, %d steps each, 4 hosts\n", static_cast<unsigned long long>(seeds), steps);
    std::printf("%-28s %9s %9s %9s %9s %9s\n", "", "requests", "once", "twice", "false no", "body");
    play("tickets", Placement::Tickets, {});
    play("hash of the caller's key", Placement::HashedKey, {});
    play("other hosts take over", Placement::Tickets, {.onlyIssuerRuns = false});
    play("tickets not verified", Placement::Tickets, {.verifyTickets = false});
    play("body not pinned", Placement::Tickets, {.pinBody = false});
    play("time may step back", Placement::Tickets, {.monotonicTime = false});
    play("forgotten before expiry", Placement::Tickets, {.retainPastExpiry = false});
    timeBook();
    return 0;
}
