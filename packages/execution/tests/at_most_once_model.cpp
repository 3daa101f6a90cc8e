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

/// One host, and the outcomes that it would store by caller's key under Placement::HashedKey.
struct Host
{
    TicketBook book;
    std::map<std::uint64_t, Outcome> byKey;
};

/// One request, from the points of view of its caller and of the leaf.
struct Request
{
    Ticket ticket;
    int runs = 0;
    std::uint64_t ranDigest = 0;
    bool reportedNotRun = false;
    bool wrongBody = false;
};

/// A run that has begun and hasn't finished.
struct OpenRun
{
    std::size_t host = 0;
    std::size_t request = 0;
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
        auto verdict = Verdict{.requests = this->requests.size(), .unknownOutcomes = this->unknown};
        for (const auto &request : this->requests) {
            verdict.ranOnce += request.runs == 1 ? 1U : 0U;
            verdict.ranTwice += request.runs > 1 ? 1U : 0U;
            verdict.falseNotRun += request.reportedNotRun && request.runs > 0 ? 1U : 0U;
            verdict.wrongBody += request.wrongBody ? 1U : 0U;
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
            this->obtainTicket();
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

    /// Returns the current time, or one up to 24 s in the past, as from a thread that read the clock and was then delayed.
    auto readClock() -> absl::Time
    {
        return this->random.below(3) == 0 ? this->now - absl::Seconds(this->random.below(25)) : this->now;
    }

    auto obtainTicket() -> void
    {
        auto &host = this->hosts[this->random.below(hostCount)];
        const auto ticket = issue(host.book, customer, operation, this->readClock());
        if (ticket.ok()) {
            this->requests.push_back({.ticket = ticket.value()});
        }
    }

    auto submit() -> void
    {
        if (this->requests.empty()) {
            return;
        }
        // Mostly a recent request, sometimes an old one that is retried late.
        const auto recent = std::min<std::uint64_t>(this->requests.size(), this->random.below(4) == 0 ? 40 : 4);
        const auto number = this->requests.size() - 1 - this->random.below(recent);
        const auto receiver = this->random.below(hostCount);
        if (this->placement == Placement::HashedKey) {
            this->submitByKey(receiver, number);
        } else {
            this->submitByTicket(receiver, number);
        }
    }

    /// Hosts of the first half consider the last host gone, as after a replacement that the other half hasn't learnt of yet.
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
            ++this->requests[number].runs;
        }
    }

    auto submitByTicket(std::size_t receiver, std::size_t number) -> void
    {
        auto &request = this->requests[number];
        auto submission = Submission{.ticket = request.ticket, .customer = customer, .operation = operation, .digest = 1 + this->random.below(20) / 19};
        const auto damaged = this->random.below(10) == 0;
        if (damaged) {
            submission.ticket.number += 1 + this->random.below(2);
        }
        auto at = receiver;
        auto result = begin(this->hosts[at].book, submission, this->readClock());
        if (std::holds_alternative<IssuedElsewhere>(result)) {
            at = this->hostNamed(std::get<IssuedElsewhere>(result).host);
            const auto reached = this->random.below(5) != 0;
            result = reached ? begin(this->hosts[at].book, submission, this->readClock())
                             : BeginResult(Refused{RefusalReason::IncarnationGone, RunState::MayHaveRun});
        }
        // A damaged ticket changes what the host takes the request for, but not which request the leaf sees.
        this->recordResult(result, at, number, submission.digest);
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

    auto recordResult(const BeginResult &result, std::size_t host, std::size_t number, std::uint64_t digest) -> void
    {
        auto &request = this->requests[number];
        if (std::holds_alternative<Run>(result)) {
            ++request.runs;
            request.ranDigest = digest;
            this->open.push_back({.host = host, .request = number, .incarnation = this->hosts[host].book.incarnation});
        } else if (const auto *refused = std::get_if<Refused>(&result)) {
            request.reportedNotRun = request.reportedNotRun || (refused->runState == RunState::NotRun && refused->reason == RefusalReason::Expired);
            this->unknown += refused->runState == RunState::MayHaveRun ? 1 : 0;
        } else if (std::holds_alternative<AlreadyFinished>(result) || std::holds_alternative<InProgress>(result)) {
            request.wrongBody = request.wrongBody || request.ranDigest != digest;
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
            finish(book, this->requests[run.request].ticket, {.runState = lost ? RunState::MayHaveRun : RunState::Ran}, this->readClock());
        }
    }

    Placement placement;
    Safeguards safeguards;
    base::Random random;
    absl::Time now = absl::UnixEpoch();
    std::vector<Host> hosts;
    std::vector<Request> requests;
    std::vector<OpenRun> open;
    std::uint64_t unknown = 0;
};

} // namespace

auto simulateRequests(Placement placement, const Safeguards &safeguards, std::uint64_t seed, int steps) -> Verdict
{
    auto model = Model(placement, safeguards, seed);
    for (auto i = 0; i < steps; ++i) {
        model.step();
    }
    return model.verdict();
}

} // namespace tamarackspan::execution::test
