#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/result.h"
#include "tamarackspan/execution/outcome.h"
#include "tamarackspan/execution/ticket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

namespace tamarackspan::execution {

/// The rules that together guarantee at most one run per ticket. All are on, except in tests that show what each prevents.
struct Safeguards
{
    /// Only the incarnation that issued a ticket runs it.
    bool onlyIssuerRuns = true;
    /// Outcomes are kept for the retention time after the ticket's expiry, not only after the end of the run.
    bool retainPastExpiry = true;
    /// Time never goes backwards between calls.
    bool monotonicTime = true;
    /// A ticket is bound to the first body submitted with it.
    bool pinBody = true;
    /// The MAC of each ticket is checked.
    bool verifyTickets = true;

    friend auto operator==(const Safeguards &, const Safeguards &) -> bool = default;
};

/// Limits and times of a ticket book.
struct TicketBookOptions
{
    /// Most tickets that may be issued, running or finished and retained at once.
    std::size_t capacity = 100'000;
    /// The same for one customer.
    std::size_t capacityPerCustomer = 25'000;
    /// How long after its issue a ticket may first be submitted.
    absl::Duration ticketLife = absl::Seconds(30);
    /// How long an outcome is kept after the ticket's expiry or the end of the run, whichever is later.
    absl::Duration outcomeRetention = absl::Minutes(5);
    /// The longest response body that is kept with an outcome.
    std::size_t maxBodyBytes = std::size_t{16} * 1024;
    Safeguards safeguards{};

    friend auto operator==(const TicketBookOptions &, const TicketBookOptions &) -> bool = default;
};

/// One submission of a request with its ticket.
struct Submission
{
    Ticket ticket;
    base::CustomerName customer;
    base::OperationName operation;
    /// bodyDigest() of the request's routing key and body.
    std::uint64_t digest = 0;

    friend auto operator==(const Submission &, const Submission &) -> bool = default;
};

/// Returns a digest that distinguishes two requests submitted with the same ticket.
[[nodiscard]] auto bodyDigest(std::string_view routingKey, std::string_view body) -> std::uint64_t;

/// Why no ticket was issued. Nothing has been run.
enum class IssueRefusal {
    /// The book is full.
    Full,
    /// The customer has reached its own limit.
    CustomerFull,
    /// The process is draining before a planned stop.
    Draining,
};

/// The caller of begin() must run the request now, and call finish() afterwards.
struct Run
{
    friend auto operator==(const Run &, const Run &) -> bool = default;
};

/// The request is already running for an earlier submission; wait for that outcome.
struct InProgress
{
    friend auto operator==(const InProgress &, const InProgress &) -> bool = default;
};

/// The request already has an outcome.
struct AlreadyFinished
{
    Outcome outcome;

    friend auto operator==(const AlreadyFinished &, const AlreadyFinished &) -> bool = default;
};

/// Another host issued the ticket; only the incarnation named here can run the request or report its outcome.
struct IssuedElsewhere
{
    base::HostId host;
    base::Incarnation incarnation;

    friend auto operator==(const IssuedElsewhere &, const IssuedElsewhere &) -> bool = default;
};

/// Why a submission was refused.
enum class RefusalReason {
    /// The ticket expired before it was submitted, and will never be run.
    Expired,
    /// The ticket expired so long ago that an outcome would no longer be retained.
    Forgotten,
    /// The incarnation that issued the ticket no longer runs.
    IncarnationGone,
    /// The ticket's MAC is wrong: the ticket was damaged or forged.
    Corrupt,
    /// The ticket belongs to another customer or operation.
    WrongOwner,
    /// The ticket was submitted with a different body before.
    OtherBody,
};

/// Returns the reason's name, such as "other-body".
[[nodiscard]] auto toString(RefusalReason reason) noexcept -> std::string_view;

/// The submission isn't run. The run state is that of the request as it was submitted.
struct Refused
{
    RefusalReason reason = RefusalReason::Corrupt;
    RunState runState = RunState::MayHaveRun;

    friend auto operator==(const Refused &, const Refused &) -> bool = default;
};

/// The decision on a submission.
using BeginResult = std::variant<Run, InProgress, AlreadyFinished, IssuedElsewhere, Refused>;

/// The state of one ticket.
struct TicketEntry
{
    enum class Phase {
        Issued,
        Running,
        Finished,
    };

    Phase phase = Phase::Issued;
    base::CustomerName customer;
    base::OperationName operation;
    absl::Time expiry;
    std::uint64_t digest = 0;
    Outcome outcome;
    /// When the entry is dropped; the infinite future while the request runs.
    absl::Time dropAt;

    friend auto operator==(const TicketEntry &, const TicketEntry &) -> bool = default;
};

/// The tickets that one incarnation of one host has issued, and the outcomes that it retains. Changed only by the functions below.
struct TicketBook
{
    base::HostId host;
    base::Incarnation incarnation;
    HashKey secret;
    TicketBookOptions options;
    bool draining = false;
    std::uint64_t lastNumber = 0;
    /// The latest time passed to any call.
    absl::Time latestTime = absl::InfinitePast();
    absl::flat_hash_map<std::uint64_t, TicketEntry> entries;
    absl::flat_hash_map<base::CustomerName, std::size_t> entriesPerCustomer;
    /// The entries due to be dropped, ordered by time.
    std::set<std::pair<absl::Time, std::uint64_t>> dropSchedule;
    std::size_t running = 0;
    std::size_t issued = 0;
};

/// Creates an empty book for an incarnation. The secret must be random and known only to this process.
[[nodiscard]] auto makeTicketBook(base::HostId host, base::Incarnation incarnation, HashKey secret, TicketBookOptions options) -> TicketBook;

/// Issues a ticket for one request of a customer and reserves space for its outcome.
[[nodiscard]] auto issue(TicketBook &book, const base::CustomerName &customer, const base::OperationName &operation, absl::Time now)
    -> base::Result<Ticket, IssueRefusal>;

/// Decides on a submission. Returns Run at most once per ticket.
[[nodiscard]] auto begin(TicketBook &book, const Submission &submission, absl::Time now) -> BeginResult;

/// Records the outcome of a run. A later call replaces the outcome only if it is RunState::MayHaveRun, for example when a late response shows what happened.
/// Returns whether the outcome was recorded.
auto finish(TicketBook &book, const Ticket &ticket, Outcome outcome, absl::Time now) -> bool;

/// Drops the tickets and outcomes that are due. The functions above do so as well.
auto expire(TicketBook &book, absl::Time now) -> void;

/// Stops issuing tickets, before a planned stop of the process.
auto drain(TicketBook &book) -> void;

/// Returns whether the book is draining and has neither issued tickets that could still be submitted nor running requests, so that it can be discarded.
[[nodiscard]] auto isDrained(TicketBook &book, absl::Time now) -> bool;

} // namespace tamarackspan::execution
