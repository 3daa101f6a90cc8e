#include "at_most_once_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace tamarackspan::execution::test {

namespace {

constexpr auto hostCount = 4U;
constexpr auto ticketLife = absl::Seconds(10);
constexpr auto outcomeRetention = absl::Seconds(20);
const auto customer = base::CustomerName("tent-desk");
const auto operation = base::OperationName("register");

/// One host, and what it would remember of callers' keys under Placement::HashedKey.
struct Host
{
    TicketBook book;
    std::map<std::uint64_t, Outcome> byKey;
};

/// One booking as its caller and the leaf know it.
struct Booking
{
    Ticket ticket;
    int runs = 0;
    std::uint64_t ranDigest = 0;
    bool toldNotRun = false;
    bool wrongBody = false;
};

/// A run that was begun and not yet finished.
struct OpenRun
{
    std::size_t host = 0;
    std::size_t booking = 0;
    base::Incarnation incarnation;
};

class Model
{
public:
    Model(Placement placement, const Safeguards &safeguards, std::uint64_t seed)
        : placement(placement),
          safeguards(safeguards),
          random(seed)
    {
        for (auto i = 0U; i < hostCount; ++i) {
            this->hosts.push_back({.book = this->freshBook(i), .byKey = {}});
        }
    }

    auto step() -> void
    {
        this->now += absl::Milliseconds(this->random.below(1000));
        switch (this->random.below(48)) {
        case 0:
            this->restart(this->random.below(hostCount));
            break;
        case 1:
            this->now += ticketLife + absl::Seconds(this->random.below(40));
            break;
        default:
            this->act();
        }
    }

    auto verdict() -> Verdict
    {
        auto verdict = Verdict{.requests = this->bookings.size(), .unknownOutcomes = this->unknown};
        for (const auto &booking : this->bookings) {
            verdict.ranOnce += booking.runs == 1 ? 1U : 0U;
            verdict.ranTwice += booking.runs > 1 ? 1U : 0U;
            verdict.falseNotRun += booking.toldNotRun && booking.runs > 0 ? 1U : 0U;
            verdict.wrongBody += booking.wrongBody ? 1U : 0U;
        }
        return verdict;
    }

private:
    auto act() -> void
    {
        switch (this->random.below(6)) {
        case 0:
            this->finishOne();
            break;
        case 1:
            this->take();
            break;
        default:
            this->submit();
        }
    }

    auto freshBook(std::uint64_t host) -> TicketBook
    {
        const auto options = TicketBookOptions{.ticketLife = ticketLife, .outcomeRetention = outcomeRetention, .safeguards = this->safeguards};
        return makeTicketBook(base::HostId("10.0.0." + std::to_string(host) + ":7000"), base::Incarnation(this->random.next()),
                              {.first = this->random.next(), .second = this->random.next()}, options);
    }

    auto restart(std::uint64_t host) -> void
    {
        this->hosts[host] = {.book = this->freshBook(host), .byKey = {}};
    }

    /// A thread may have read the clock and come late, up to far in the past.
    auto readClock() -> absl::Time
    {
        return this->random.below(3) == 0 ? this->now - absl::Seconds(this->random.below(25)) : this->now;
    }

    auto take() -> void
    {
        auto &host = this->hosts[this->random.below(hostCount)];
        const auto ticket = issue(host.book, customer, operation, this->readClock());
        if (ticket.ok()) {
            this->bookings.push_back({.ticket = ticket.value()});
        }
    }

    auto submit() -> void
    {
        if (this->bookings.empty()) {
            return;
        }
        // Mostly a recent one, sometimes an old one that is retried late.
        const auto recent = std::min<std::uint64_t>(this->bookings.size(), this->random.below(4) == 0 ? 40 : 4);
        const auto number = this->bookings.size() - 1 - this->random.below(recent);
        const auto receiver = this->random.below(hostCount);
        if (this->placement == Placement::HashedKey) {
            this->submitByKey(receiver, number);
        } else {
            this->submitByTicket(receiver, number);
        }
    }

    /// Hosts of one half believe that the last host is gone, as after a replacement that the other half hasn't heard of.
    [[nodiscard]] auto homeOf(std::size_t receiver, std::size_t key) const -> std::size_t
    {
        const auto believed = receiver < hostCount / 2 ? hostCount - 1 : hostCount;
        return base::mixBits(key) % believed;
    }

    auto submitByKey(std::size_t receiver, std::size_t number) -> void
    {
        auto &home = this->hosts[this->homeOf(receiver, number)];
        if (!home.byKey.contains(number)) {
            home.byKey[number] = Outcome{.runState = RunState::Ran};
            ++this->bookings[number].runs;
        }
    }

    auto submitByTicket(std::size_t receiver, std::size_t number) -> void
    {
        auto &booking = this->bookings[number];
        auto submission = Submission{.ticket = booking.ticket, .customer = customer, .operation = operation, .digest = 1 + this->random.below(20) / 19};
        const auto damaged = this->random.below(10) == 0;
        if (damaged) {
            submission.ticket.number += 1 + this->random.below(2);
        }
        auto at = receiver;
        auto result = begin(this->hosts[at].book, submission, this->readClock());
        if (std::holds_alternative<ElsewhereIncarnation>(result)) {
            at = this->hostNamed(std::get<ElsewhereIncarnation>(result).host);
            const auto reached = this->random.below(5) != 0;
            result = reached ? begin(this->hosts[at].book, submission, this->readClock())
                             : BeginResult(Refused{RefusalReason::IncarnationGone, RunState::MayHaveRun});
        }
        // Damage of the ticket changes whose request it is, not whose run the leaf sees.
        this->take(result, at, number, submission.digest);
    }

    [[nodiscard]] auto hostNamed(const base::HostId &id) const -> std::size_t
    {
        return static_cast<std::size_t>(std::find_if(this->hosts.begin(), this->hosts.end(),
                                                     [&id](const Host &host) {
                                                         return host.book.host == id;
                                                     })
                                        - this->hosts.begin())
            % hostCount;
    }

    auto take(const BeginResult &result, std::size_t host, std::size_t number, std::uint64_t digest) -> void
    {
        auto &booking = this->bookings[number];
        if (std::holds_alternative<Run>(result)) {
            ++booking.runs;
            booking.ranDigest = digest;
            this->open.push_back({.host = host, .booking = number, .incarnation = this->hosts[host].book.incarnation});
        } else if (const auto *refused = std::get_if<Refused>(&result)) {
            booking.toldNotRun = booking.toldNotRun || (refused->runState == RunState::NotRun && refused->reason == RefusalReason::Expired);
            this->unknown += refused->runState == RunState::MayHaveRun ? 1 : 0;
        } else if (std::holds_alternative<Known>(result) || std::holds_alternative<InProgress>(result)) {
            booking.wrongBody = booking.wrongBody || booking.ranDigest != digest;
        }
    }

    auto finishOne() -> void
    {
        if (this->open.empty()) {
            return;
        }
        const auto chosen = this->open.begin() + static_cast<std::ptrdiff_t>(this->random.below(this->open.size()));
        const auto run = *chosen;
        this->open.erase(chosen);
        auto &book = this->hosts[run.host].book;
        if (book.incarnation == run.incarnation) {
            // A lost reply leaves the outcome unknown.
            const auto lost = this->random.below(4) == 0;
            finish(book, this->bookings[run.booking].ticket, {.runState = lost ? RunState::MayHaveRun : RunState::Ran}, this->readClock());
        }
    }

    Placement placement;
    Safeguards safeguards;
    base::Random random;
    absl::Time now = absl::UnixEpoch();
    std::vector<Host> hosts;
    std::vector<Booking> bookings;
    std::vector<OpenRun> open;
    std::uint64_t unknown = 0;
};

} // namespace

auto playBookings(Placement placement, const Safeguards &safeguards, std::uint64_t seed, int steps) -> Verdict
{
    auto model = Model(placement, safeguards, seed);
    for (auto i = 0; i < steps; ++i) {
        model.step();
    }
    return model.verdict();
}

} // namespace tamarackspan::execution::test
