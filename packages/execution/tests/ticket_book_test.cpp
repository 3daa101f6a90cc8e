#include "tamarackspan/execution/ticket_book.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::execution;
using tamarackspan::base::CustomerName;
using tamarackspan::base::HostId;
using tamarackspan::base::Incarnation;
using tamarackspan::base::OperationName;
/// An alias, since testing::Test has a member named Run.
using RunNow = tamarackspan::execution::Run;

const auto customer = CustomerName("depot-booking");
const auto operation = OperationName("book-tray");
const auto start = absl::UnixEpoch();
const auto ran = Outcome{.runState = RunState::Ran, .status = 200, .body = "{}"};

auto makeBook(TicketBookOptions options = {}) -> TicketBook
{
    return makeTicketBook(HostId("10.0.0.1:7000"), Incarnation(7), {.first = 1, .second = 2}, options);
}

auto submissionOf(const Ticket &ticket, std::uint64_t digest = 5) -> Submission
{
    return {.ticket = ticket, .customer = customer, .operation = operation, .digest = digest};
}

auto issued(TicketBook &book, absl::Time now = start) -> Ticket
{
    return issue(book, customer, operation, now).value();
}

TEST(TicketBook, RunsOnceAndThenReturnsTheOutcome)
{
    auto book = makeBook();
    const auto ticket = issued(book);
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(RunNow{}));
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(InProgress{}));
    EXPECT_TRUE(finish(book, ticket, ran, start));
    EXPECT_EQ(begin(book, submissionOf(ticket), start + absl::Minutes(5)), BeginResult(AlreadyFinished{ran}));
}

TEST(TicketBook, RefusesAnotherBodyOwnerOrAChangedTicket)
{
    auto book = makeBook();
    const auto ticket = issued(book);
    auto foreign = submissionOf(ticket);
    foreign.customer = CustomerName("agronomy-desk");
    EXPECT_EQ(begin(book, foreign, start), BeginResult(Refused{RefusalReason::WrongOwner, RunState::NotRun}));
    EXPECT_EQ(begin(book, submissionOf(ticket, 5), start), BeginResult(RunNow{}));
    EXPECT_EQ(begin(book, submissionOf(ticket, 6), start), BeginResult(Refused{RefusalReason::OtherBody, RunState::NotRun}));
    auto forged = ticket;
    forged.expiry -= absl::Hours(1);
    EXPECT_EQ(begin(book, submissionOf(forged), start), BeginResult(Refused{RefusalReason::Corrupt, RunState::NotRun}));
}

TEST(TicketBook, ReportsNotRunForAnExpiredTicketOnlyWithinTheRetention)
{
    const auto options = TicketBookOptions{.ticketLife = absl::Seconds(10), .outcomeRetention = absl::Seconds(60)};
    auto book = makeBook(options);
    const auto ticket = issued(book);
    EXPECT_EQ(begin(book, submissionOf(ticket), start + absl::Seconds(10)), BeginResult(Refused{RefusalReason::Expired, RunState::NotRun}));
    EXPECT_EQ(begin(book, submissionOf(ticket), start + absl::Seconds(70)), BeginResult(Refused{RefusalReason::Forgotten, RunState::MayHaveRun}));
}

TEST(TicketBook, NeverRunsATicketOfAnotherIncarnation)
{
    auto book = makeBook();
    auto ticket = issued(book);
    auto successor = makeTicketBook(book.host, Incarnation(8), {.first = 3, .second = 4}, {});
    EXPECT_EQ(begin(successor, submissionOf(ticket), start), BeginResult(Refused{RefusalReason::IncarnationGone, RunState::MayHaveRun}));
    auto other = makeTicketBook(HostId("10.0.0.2:7000"), Incarnation(9), {.first = 3, .second = 4}, {});
    EXPECT_EQ(begin(other, submissionOf(ticket), start), BeginResult(IssuedElsewhere{book.host, book.incarnation}));
}

TEST(TicketBook, RefusesNewTicketsWhenFullRatherThanForgetting)
{
    auto book = makeBook({.capacity = 3, .capacityPerCustomer = 2, .ticketLife = absl::Seconds(10)});
    const auto first = issued(book);
    EXPECT_EQ(begin(book, submissionOf(first), start), BeginResult(RunNow{}));
    EXPECT_TRUE(finish(book, first, ran, start));
    const auto second = issued(book);
    EXPECT_EQ(issue(book, customer, operation, start).error(), IssueRefusal::CustomerFull);
    EXPECT_TRUE(issue(book, CustomerName("other"), operation, start).ok());
    EXPECT_EQ(issue(book, CustomerName("third"), operation, start).error(), IssueRefusal::Full);
    EXPECT_EQ(begin(book, submissionOf(first), start), BeginResult(AlreadyFinished{ran}));
    EXPECT_EQ(begin(book, submissionOf(second), start), BeginResult(RunNow{}));
    // The third customer gets a ticket once the other customer's unused ticket has expired.
    EXPECT_TRUE(issue(book, CustomerName("third"), operation, start + absl::Seconds(10)).ok());
}

TEST(TicketBook, RecordsALaterOutcomeOfARunThatMayHaveHappened)
{
    auto book = makeBook();
    const auto ticket = issued(book);
    EXPECT_FALSE(finish(book, ticket, ran, start)) << "nothing was begun";
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(RunNow{}));
    EXPECT_TRUE(finish(book, ticket, {.runState = RunState::MayHaveRun}, start));
    EXPECT_TRUE(finish(book, ticket, ran, start));
    EXPECT_FALSE(finish(book, ticket, {.runState = RunState::NotRun}, start));
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(AlreadyFinished{ran}));
}

TEST(TicketBook, KeepsNoBodyThatIsTooLong)
{
    auto book = makeBook({.maxBodyBytes = 3});
    const auto ticket = issued(book);
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(RunNow{}));
    EXPECT_TRUE(finish(book, ticket, {.runState = RunState::Ran, .status = 200, .body = "long"}, start));
    EXPECT_EQ(begin(book, submissionOf(ticket), start), BeginResult(AlreadyFinished{{.runState = RunState::Ran, .status = 200, .bodyKept = false}}));
}

TEST(TicketBook, IsDrainedOnceNoTicketCanBeBegunAndNothingRuns)
{
    auto book = makeBook({.ticketLife = absl::Seconds(10)});
    const auto ticket = issued(book);
    EXPECT_FALSE(isDrained(book, start + absl::Hours(1))) << "not draining";
    const auto late = issued(book, start + absl::Hours(1));
    drain(book);
    EXPECT_EQ(issue(book, customer, operation, start + absl::Hours(1)).error(), IssueRefusal::Draining);
    EXPECT_FALSE(isDrained(book, start + absl::Hours(1)));
    EXPECT_EQ(begin(book, submissionOf(late), start + absl::Hours(1)), BeginResult(RunNow{}));
    EXPECT_FALSE(isDrained(book, start + absl::Hours(2)));
    EXPECT_TRUE(finish(book, late, ran, start + absl::Hours(2)));
    EXPECT_TRUE(isDrained(book, start + absl::Hours(2)));
}

TEST(BodyDigest, DistinguishesTheRoutingKeyFromTheBody)
{
    EXPECT_NE(bodyDigest("ab", "c"), bodyDigest("a", "bc"));
    EXPECT_EQ(bodyDigest("a", "bc"), bodyDigest("a", "bc"));
}

} // namespace
