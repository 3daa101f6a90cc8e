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

/// The safeguards that make a run happen at most once. All on but in the tests that show what each prevents.
struct Safeguards
{
    /// Only the incarnation that issued a ticket runs it.
    bool onlyIssuerRuns = true;
    /// Outcomes are kept for their retention after the ticket expired, not only after the run ended.
    bool retainPastExpiry = true;
    /// Time never steps back between calls.
    bool monotonicTime = true;
    /// A ticket belongs to the first body submitted with it.
    bool pinBody = true;
    /// Tickets are checked against the issuer's secret.
    bool verifyTickets = true;

    friend auto operator==(const Safeguards &, const Safeguards &) -> bool = default;
};

/// The sizes and times of a book.
struct TicketBookOptions
{
    /// Tickets that may be issued, running or remembered at once.
    std::size_t capacity = 100'000;
    /// As capacity, for one customer.
    std::size_t capacityPerCustomer = 25'000;
    /// How long after its issue a ticket may be begun.
    absl::Duration ticketLife = absl::Seconds(30);
    /// How long an outcome is kept after its ticket expired or its run ended, whichever is later.
    absl::Duration outcomeRetention = absl::Minutes(5);
    /// The longest body that is kept with an outcome.
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

/// Returns a digest by which two requests with the same ticket are told apart.
[[nodiscard]] auto bodyDigest(std::string_view routingKey, std::string_view body) -> std::uint64_t;

/// Why no ticket was issued. Nothing was run.
enum class IssueRefusal {
    /// The book is full.
    Full,
    /// The customer's part of the book is full.
    CustomerFull,
    /// The process is about to stop.
    Draining,
};

/// The request is to be run now, by who asked; finish() must follow.
struct Run
{
    friend auto operator==(const Run &, const Run &) -> bool = default;
};

/// The request is being run for an earlier submission, whose outcome is to be awaited.
struct InProgress
{
    friend auto operator==(const InProgress &, const InProgress &) -> bool = default;
};

/// The request has an outcome.
struct Known
{
    Outcome outcome;

    friend auto operator==(const Known &, const Known &) -> bool = default;
};

/// Another host issued the ticket; only its incarnation can tell or run.
struct ElsewhereIncarnation
{
    base::HostId host;
    base::Incarnation incarnation;

    friend auto operator==(const ElsewhereIncarnation &, const ElsewhereIncarnation &) -> bool = default;
};

/// Why a submission isn't run.
enum class RefusalReason {
    /// The ticket wasn't begun before it expired, and never will be.
    Expired,
    /// The ticket expired so long ago that its outcome would be forgotten.
    Forgotten,
    /// The incarnation that issued the ticket has ended.
    IncarnationGone,
    /// The ticket's check is wrong: it was damaged or made up.
    Corrupt,
    /// The ticket belongs to another customer or operation.
    WrongOwner,
    /// The ticket was submitted with another body before.
    OtherBody,
};

/// Returns the reason's name, such as "other-body".
[[nodiscard]] auto toString(RefusalReason reason) noexcept -> std::string_view;

/// The submission isn't run; the run state is that of the request as submitted.
struct Refused
{
    RefusalReason reason = RefusalReason::Corrupt;
    RunState runState = RunState::MayHaveRun;

    friend auto operator==(const Refused &, const Refused &) -> bool = default;
};

/// What becomes of a submission.
using BeginResult = std::variant<Run, InProgress, Known, ElsewhereIncarnation, Refused>;

/// What a book holds on one ticket.
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
    /// When the entry is dropped; the infinite future while it is running.
    absl::Time dropAt;

    friend auto operator==(const TicketEntry &, const TicketEntry &) -> bool = default;
};

/// The tickets that one incarnation of one host has issued, and the outcomes that it remembers. Changed by the functions below only.
struct TicketBook
{
    base::HostId host;
    base::Incarnation incarnation;
    HashKey secret;
    TicketBookOptions options;
    bool draining = false;
    std::uint64_t lastNumber = 0;
    /// The latest time of any call.
    absl::Time latest = absl::InfinitePast();
    absl::flat_hash_map<std::uint64_t, TicketEntry> entries;
    absl::flat_hash_map<base::CustomerName, std::size_t> entriesPerCustomer;
    /// The entries that will be dropped, by time.
    std::set<std::pair<absl::Time, std::uint64_t>> drops;
    std::size_t running = 0;
    std::size_t issued = 0;
};

/// Makes the empty book of an incarnation. The secret must be random and known to this process alone.
[[nodiscard]] auto makeTicketBook(base::HostId host, base::Incarnation incarnation, HashKey secret, TicketBookOptions options) -> TicketBook;

/// Issues a ticket for one request of a customer and reserves the room to remember its outcome.
[[nodiscard]] auto issue(TicketBook &book, const base::CustomerName &customer, const base::OperationName &operation, absl::Time now)
    -> base::Result<Ticket, IssueRefusal>;

/// Decides on a submission. Returns Run at most once for each ticket.
[[nodiscard]] auto begin(TicketBook &book, const Submission &submission, absl::Time now) -> BeginResult;

/// Records the outcome of a run. A later call changes an outcome of RunState::MayHaveRun only, as when a late response tells what happened. Returns whether the
/// outcome was recorded.
auto finish(TicketBook &book, const Ticket &ticket, Outcome outcome, absl::Time now) -> bool;

/// Drops the tickets and outcomes that are due; the functions above do so too.
auto expire(TicketBook &book, absl::Time now) -> void;

/// Issues no more tickets from now on, before a planned stop.
auto drain(TicketBook &book) -> void;

/// Tells whether a draining book can be given up without leaving a ticket that could still have been run, or a run without its outcome.
[[nodiscard]] auto isDrained(TicketBook &book, absl::Time now) -> bool;

} // namespace tamarackspan::execution
