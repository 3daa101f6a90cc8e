#include "tamarackspan/execution/ticket_book.h"

#include "tamarackspan/base/require.h"

#include <algorithm>
#include <string>

namespace tamarackspan::execution {

namespace {

using Phase = TicketEntry::Phase;

/// Fixed, so that every host computes the same digest.
constexpr auto digestKey = HashKey{.first = 0x7461'6D61'7261'636B, .second = 0x7370'616E'2E62'6F64};

auto advance(TicketBook &book, absl::Time now) -> absl::Time
{
    if (!book.options.safeguards.monotonicTime) {
        return now;
    }
    book.latestTime = std::max(book.latestTime, now);
    return book.latestTime;
}

auto dropEntry(TicketBook &book, std::uint64_t number) -> void
{
    const auto found = book.entries.find(number);
    base::require(found != book.entries.end(), "each scheduled drop must have an entry");
    book.issued -= found->second.phase == Phase::Issued ? 1 : 0;
    const auto count = book.entriesPerCustomer.find(found->second.customer);
    if (--count->second == 0) {
        book.entriesPerCustomer.erase(count);
    }
    book.entries.erase(found);
}

auto dropDue(TicketBook &book, absl::Time now) -> void
{
    while (!book.dropSchedule.empty() && book.dropSchedule.begin()->first <= now) {
        const auto number = book.dropSchedule.begin()->second;
        book.dropSchedule.erase(book.dropSchedule.begin());
        dropEntry(book, number);
    }
}

auto scheduleDrop(TicketBook &book, std::uint64_t number, TicketEntry &entry, absl::Time when) -> void
{
    book.dropSchedule.erase({entry.dropAt, number});
    entry.dropAt = when;
    if (when < absl::InfiniteFuture()) {
        book.dropSchedule.emplace(when, number);
    }
}

auto customerCount(const TicketBook &book, const base::CustomerName &customer) -> std::size_t
{
    const auto found = book.entriesPerCustomer.find(customer);
    return found == book.entriesPerCustomer.end() ? 0 : found->second;
}

/// Decides on a ticket of this incarnation that has no entry: it expired without being submitted, or its outcome has been dropped.
auto decideWithoutEntry(const TicketBook &book, const Ticket &ticket, absl::Time now) -> Refused
{
    const auto expiredUnused = now >= ticket.expiry && now < ticket.expiry + book.options.outcomeRetention;
    return expiredUnused ? Refused{RefusalReason::Expired, RunState::NotRun} : Refused{RefusalReason::Forgotten, RunState::MayHaveRun};
}

auto beginRun(TicketBook &book, const Submission &submission, TicketEntry &entry) -> BeginResult
{
    entry.phase = Phase::Running;
    entry.digest = submission.digest;
    scheduleDrop(book, submission.ticket.number, entry, absl::InfiniteFuture());
    --book.issued;
    ++book.running;
    return Run{};
}

auto decideWithEntry(TicketBook &book, const Submission &submission, TicketEntry &entry) -> BeginResult
{
    if (entry.customer != submission.customer || entry.operation != submission.operation) {
        return Refused{RefusalReason::WrongOwner, RunState::NotRun};
    }
    if (entry.phase == Phase::Issued) {
        return beginRun(book, submission, entry);
    }
    if (book.options.safeguards.pinBody && entry.digest != submission.digest) {
        return Refused{RefusalReason::OtherBody, RunState::NotRun};
    }
    if (entry.phase == Phase::Running) {
        return InProgress{};
    }
    return AlreadyFinished{entry.outcome};
}

/// What a host would do if it took over tickets that it didn't issue. Reached only when the safeguard against it is off.
auto takeOver(TicketBook &book, Submission submission) -> BeginResult
{
    submission.ticket.number = submission.ticket.mac;
    const auto [found, added] = book.entries.try_emplace(submission.ticket.number);
    if (added) {
        found->second.customer = submission.customer;
        found->second.operation = submission.operation;
        found->second.expiry = submission.ticket.expiry;
        ++book.entriesPerCustomer[submission.customer];
        ++book.issued;
    }
    return decideWithEntry(book, submission, found->second);
}

} // namespace

auto toString(RunState state) noexcept -> std::string_view
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "ran";
    case RunState::MayHaveRun:
        return "may-have-run";
    }
    return "unknown";
}

auto toString(RefusalReason reason) noexcept -> std::string_view
{
    switch (reason) {
    case RefusalReason::Expired:
        return "expired";
    case RefusalReason::Forgotten:
        return "forgotten";
    case RefusalReason::IncarnationGone:
        return "incarnation-gone";
    case RefusalReason::Corrupt:
        return "corrupt";
    case RefusalReason::WrongOwner:
        return "wrong-owner";
    case RefusalReason::OtherBody:
        return "other-body";
    }
    return "unknown";
}

auto bodyDigest(std::string_view routingKey, std::string_view body) -> std::uint64_t
{
    // The leading length distinguishes key "ab" with body "c" from key "a" with body "bc".
    return sipHash(digestKey, std::to_string(routingKey.size()).append(":").append(routingKey).append(body));
}

auto makeTicketBook(base::HostId host, base::Incarnation incarnation, HashKey secret, TicketBookOptions options) -> TicketBook
{
    auto book = TicketBook();
    book.host = std::move(host);
    book.incarnation = incarnation;
    book.secret = secret;
    book.options = options;
    return book;
}

auto issue(TicketBook &book, const base::CustomerName &customer, const base::OperationName &operation, absl::Time now) -> base::Result<Ticket, IssueRefusal>
{
    now = advance(book, now);
    dropDue(book, now);
    if (book.draining) {
        return IssueRefusal::Draining;
    }
    if (book.entries.size() >= book.options.capacity) {
        return IssueRefusal::Full;
    }
    if (customerCount(book, customer) >= book.options.capacityPerCustomer) {
        return IssueRefusal::CustomerFull;
    }
    auto ticket = Ticket{.host = book.host, .incarnation = book.incarnation, .number = ++book.lastNumber, .expiry = now + book.options.ticketLife};
    ticket.mac = ticketMac(ticket, book.secret);
    auto &entry = book.entries[ticket.number];
    entry.customer = customer;
    entry.operation = operation;
    entry.expiry = ticket.expiry;
    ++book.entriesPerCustomer[customer];
    ++book.issued;
    scheduleDrop(book, ticket.number, entry, ticket.expiry);
    return ticket;
}

auto begin(TicketBook &book, const Submission &submission, absl::Time now) -> BeginResult
{
    const auto &ticket = submission.ticket;
    const auto &safeguards = book.options.safeguards;
    if (!safeguards.onlyIssuerRuns && ticket.incarnation != book.incarnation) {
        return takeOver(book, submission);
    }
    if (ticket.host != book.host) {
        return IssuedElsewhere{.host = ticket.host, .incarnation = ticket.incarnation};
    }
    if (ticket.incarnation != book.incarnation) {
        return Refused{RefusalReason::IncarnationGone, RunState::MayHaveRun};
    }
    if (safeguards.verifyTickets && ticket.mac != ticketMac(ticket, book.secret)) {
        return Refused{RefusalReason::Corrupt, RunState::NotRun};
    }
    now = advance(book, now);
    dropDue(book, now);
    const auto found = book.entries.find(ticket.number);
    if (found == book.entries.end()) {
        return decideWithoutEntry(book, ticket, now);
    }
    return decideWithEntry(book, submission, found->second);
}

auto finish(TicketBook &book, const Ticket &ticket, Outcome outcome, absl::Time now) -> bool
{
    now = advance(book, now);
    const auto found = book.entries.find(ticket.number);
    if (ticket.incarnation != book.incarnation || found == book.entries.end()) {
        return false;
    }
    auto &entry = found->second;
    const auto open = entry.phase == Phase::Running || (entry.phase == Phase::Finished && entry.outcome.runState == RunState::MayHaveRun);
    if (!open) {
        return false;
    }
    if (entry.phase == Phase::Running) {
        --book.running;
        const auto from = book.options.safeguards.retainPastExpiry ? std::max(entry.expiry, now) : now;
        scheduleDrop(book, ticket.number, entry, from + book.options.outcomeRetention);
    }
    if (outcome.body.size() > book.options.maxBodyBytes) {
        outcome.body.clear();
        outcome.bodyKept = false;
    }
    entry.phase = Phase::Finished;
    entry.outcome = std::move(outcome);
    return true;
}

auto expire(TicketBook &book, absl::Time now) -> void
{
    dropDue(book, advance(book, now));
}

auto drain(TicketBook &book) -> void
{
    book.draining = true;
}

auto isDrained(TicketBook &book, absl::Time now) -> bool
{
    expire(book, now);
    return book.draining && book.issued == 0 && book.running == 0;
}

} // namespace tamarackspan::execution
