#include "impl/gateway_core.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/str_split.h"

#include <utility>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

/// The statuses by which another host reports that it has not run a query, and that its deadline has passed.
constexpr auto notRunStatus = std::uint32_t{503};
constexpr auto timedOutStatus = std::uint32_t{504};
/// Maximum number of connections to another host; each carries one query at a time.
constexpr auto neighbourConnections = std::uint32_t{64};
/// A host that accepted a query answers by the objective if its leafs permit. One that hasn't answered this long after the objective gets no new queries for
/// a while.
constexpr auto neighbourTimeout = absl::Milliseconds(300);
/// A host that failed to answer is tried again after this time; if it is lost, its record in the census stops advancing a little later.
constexpr auto neighbourAvoidTime = absl::Seconds(2);
/// A host of the same data centre acknowledges a query within one or two milliseconds; one that hasn't by then is paused, cut off or lost, or the network path
/// back is congested.
constexpr auto acknowledgementTimeout = absl::Milliseconds(15);
/// Maximum number of hosts to which a query is forwarded in turn: with half of the hosts lost at once, seven of eight queries find one that is alive.
constexpr auto maxForwards = std::uint32_t{3};
/// Returns the name of the connection pool for another host.
auto neighbourPool(const std::string &host) -> std::string
{
    return "host " + host;
}

} // namespace

auto Gateway::Core::forwardQuery(const SharedWork &work) -> bool
{
    const auto &targets = this->neighbourhood().forwardingTargets;
    const auto chosen = this->nextNeighbour(targets);
    if (!chosen.has_value() || work->forwardCount >= maxForwards) {
        return false;
    }
    const auto now = base::monotonicNow();
    const auto &host = targets[*chosen];
    if (auto &incarnation = this->neighbours[host.name].incarnation; std::exchange(incarnation, host.incarnation) != host.incarnation) {
        // Connections to its previous start would only be reset.
        this->client.closePool(neighbourPool(host.name));
    }
    work->forwardedTo = host.name;
    work->forwardedAt.reset();
    work->acknowledged = false;
    ++work->forwardCount;
    ++this->neighbours[host.name].inFlight;
    work->forwardCall = this->client.call({
        .pool = neighbourPool(host.name),
        .endpoint = {.ip = host.ip, .port = this->settings.neighbourPort},
        .bytes = forwardedRequest(work->message, work->timeReserve + (now - work->arrivedAt), work->attemptsElsewhere),
        .isHead = isHead(work->message),
        .maxConnections = neighbourConnections,
        .onSent =
            [work] {
                work->forwardedAt = base::monotonicNow();
            },
        .onInterim =
            [this, work] {
                work->acknowledged = true;
                this->setTimer(work, work->objectiveAt + neighbourTimeout);
            },
        .onResult =
            [this, work](http::CallResult result) {
                this->onNeighbourResult(work, std::move(result));
            },
    });
    this->setTimer(work, now + acknowledgementTimeout);
    return true;
}

auto Gateway::Core::forwardOrAskLeafs(const SharedWork &work) -> void
{
    if (!this->forwardQuery(work)) {
        this->askServices(work);
    }
}

auto Gateway::Core::forwardedQueryOf(const Work &work) -> ForwardedQuery
{
    return {.sentAt = work.forwardedAt,
            .acknowledged = work.acknowledged,
            .repeatable = work.operation().repeatable,
            .attempts = work.operation().attempts,
            .attemptsUsed = work.attemptsElsewhere};
}

auto Gateway::Core::nextNeighbour(const std::vector<census::HostRecord> &hosts) -> std::optional<std::size_t>
{
    auto conditions = std::vector<NeighbourCondition>();
    conditions.reserve(hosts.size());
    for (const auto &host : hosts) {
        conditions.push_back(this->neighbours[host.name]);
    }
    return chooseNeighbour(conditions, this->neighbourRoundRobinStart++, base::monotonicNow());
}

auto Gateway::Core::onNeighbourResult(const SharedWork &work, http::CallResult result) -> void
{
    work->forwardCall = 0;
    const auto answered = result.outcome == http::CallOutcome::Answered;
    auto &condition = this->neighbours[work->forwardedTo];
    --condition.inFlight;
    if (!answered) {
        condition.avoidUntil = base::monotonicNow() + neighbourAvoidTime;
    }
    if (work->ended) {
        return;
    }
    if (answered && result.response.status < 300) {
        this->end(work, "answered by another host", work->resolved->state->answered);
        work->server->answer(work->exchange,
                             {.status = result.response.status,
                              .headers = http::endToEndHeaders(result.response.headers),
                              .body = std::move(result.response.body),
                              .omittedLength = result.response.omittedLength});
        return;
    }
    this->log.info("another host didn't answer a query",
                   {{"request", work->request.id}, {"host", work->forwardedTo}, {"status", result.response.status}, {"reason", http::failureText(result)}});
    // The next step depends on whether that host asked leafs: one that acknowledged the query may have asked as many as the operation allows.
    if (result.outcome == http::CallOutcome::NotSent) {
        this->forwardOrAskLeafs(work);
        return;
    }
    if (answered && result.response.status == notRunStatus) {
        if (const auto *const names = http::findHeader(result.response.headers, outOfReachHeader); names != nullptr) {
            for (const auto name : absl::StrSplit(*names, ',')) {
                auto &reached = this->reach[std::string(name)];
                reached = afterPeerReport(reached, ReachabilityOptions(), base::monotonicNow());
            }
            this->relayRefusal(work, std::move(result.response));
            return;
        }
        // That host found the leafs too busy from its own point of view. If no other host accepts the query, its retry time goes to the caller.
        if (!this->forwardQuery(work)) {
            this->relayRefusal(work, std::move(result.response));
        }
        return;
    }
    const auto forwardsAgain = !answered && mayForwardAgain(forwardedQueryOf(*work), base::monotonicNow());
    work->mayHaveRunElsewhere = true;
    ++work->attemptsElsewhere;
    if (forwardsAgain) {
        // The acknowledgement may have been lost with the connection: leafs may have been asked once.
        this->forwardOrAskLeafs(work);
        return;
    }
    this->conclude(work, answered && result.response.status == timedOutStatus ? RefusalKind::TimedOut : RefusalKind::Failed);
}

auto Gateway::Core::relayRefusal(const SharedWork &work, http::StreamMessage response) -> void
{
    if (mayHaveRun(*work)) {
        this->conclude(work, RefusalKind::Failed);
        return;
    }
    std::erase_if(response.headers, [](const http::Header &header) {
        return header.name == outOfReachHeader;
    });
    this->end(work, "not run: other hosts refused it", work->resolved->state->refused);
    work->server->answer(work->exchange, {.status = response.status, .headers = http::endToEndHeaders(response.headers), .body = std::move(response.body)});
}

auto Gateway::Core::onNeighbourTimeout(const SharedWork &work) -> void
{
    const auto now = base::monotonicNow();
    const auto forwardsAgain = mayForwardAgain(forwardedQueryOf(*work), now);
    this->log.info("another host is silent about a query",
                   {{"request", work->request.id}, {"host", work->forwardedTo}, {"acknowledged", work->acknowledged}, {"goes_elsewhere", forwardsAgain}});
    if (now >= work->deadlineAt) {
        this->conclude(work, RefusalKind::TimedOut);
        return;
    }
    auto &condition = this->neighbours[work->forwardedTo];
    condition.avoidUntil = now + neighbourAvoidTime;
    if (!forwardsAgain) {
        this->setTimer(work, work->deadlineAt);
        return;
    }
    --condition.inFlight;
    this->client.cancel(std::exchange(work->forwardCall, 0));
    work->attemptsElsewhere += work->forwardedAt.has_value() ? 1 : 0;
    work->mayHaveRunElsewhere = work->mayHaveRunElsewhere || work->forwardedAt.has_value();
    this->forwardOrAskLeafs(work);
}

} // namespace tamarackspan::gateway
