#include "tamarackspan/gateway/gateway.h"

#include "impl/gateway_core.h"

#include "tamarackspan/gateway/decisions/gather_decision.h"

#include <utility>
#include <vector>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

} // namespace

Gateway::Gateway(transport::EventLoop &loop, GatewaySettings settings, CallerProtocol callers, LeafProtocol leafs,
                 std::function<const Neighbourhood &()> neighbourhood, ReachabilityMap &reach, const EvacuationTable &evacuations, http::StreamClient &client,
                 LeafDirectory &directory, metrics::MetricShard &metrics, const logging::Logger &log)
    : core(std::make_unique<Core>(Core{.loop = loop,
                                       .settings = std::move(settings),
                                       .callers = std::move(callers),
                                       .leafs = std::move(leafs),
                                       .neighbourhood = std::move(neighbourhood),
                                       .reach = reach,
                                       .evacuations = evacuations,
                                       .client = client,
                                       .directory = directory,
                                       .metrics = metrics,
                                       .log = log}))
{
    this->core->unknown = metrics.counter({.metric = "tamarackspan_unknown_operations_total", .labels = {}});
    this->core->extraRequests = metrics.counter({.metric = "tamarackspan_extra_leaf_requests_total", .labels = {}});
    this->core->leavingNotices = metrics.counter({.metric = "tamarackspan_leaf_leaving_notices_total", .labels = {}});
    this->core->backoffNotices = metrics.counter({.metric = "tamarackspan_leaf_backoff_notices_total", .labels = {}});
    this->core->coldLeafs = metrics.counter({.metric = "tamarackspan_cold_leafs_total", .labels = {}});
    this->core->coldLeafsAvoided = metrics.counter({.metric = "tamarackspan_cold_leafs_avoided_total", .labels = {}});
    this->core->foreignAnswers = metrics.counter({.metric = "tamarackspan_foreign_leaf_answers_total", .labels = {}});
    this->core->cutOffAnswers = metrics.counter({.metric = "tamarackspan_cut_off_leaf_answers_total", .labels = {}});
    this->core->callersDisconnected = metrics.counter({.metric = "tamarackspan_callers_left_total", .labels = {}});
}

Gateway::~Gateway()
{
    for (const auto &[exchange, work] : this->core->works) {
        work->ended = true;
        if (work->timer != 0) {
            this->core->loop.cancelTimer(work->timer);
        }
    }
}

auto Gateway::setExtraRequests(const ExtraRequestOptions &options) -> void
{
    this->core->settings.extraRequests = options;
}

auto Gateway::setWarmUpBounds(const WarmUpBounds &bounds) -> void
{
    this->core->settings.warmUp = bounds;
}

auto Gateway::setCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void
{
    this->core->publish(std::move(catalogue));
}

auto Gateway::onRequest(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, Arrival arrival) -> void
{
    this->core->begin(server, exchange, std::move(message), arrival);
}

auto Gateway::onCallerDisconnected(http::StreamServer &server, http::ExchangeId exchange) -> void
{
    const auto found = this->core->works.find(WorkKey(&server, exchange));
    if (found != this->core->works.end()) {
        const auto work = found->second;
        this->core->end(work, "caller left", this->core->callersDisconnected);
    }
}

auto Gateway::beginStop(absl::Time endsAt) -> void
{
    this->core->stopsAt = endsAt;
}

auto Gateway::endAll() -> std::size_t
{
    auto all = std::vector<impl::SharedWork>();
    for (const auto &[key, work] : this->core->works) {
        all.push_back(work);
    }
    for (const auto &work : all) {
        if (work->isGather() && work->forwardCall == 0 && reachesFloor(work->answeredCount, work->slots.size(), work->operation().coverageFloor)) {
            this->core->answer(work);
        } else {
            this->core->refuse(work, stoppingRetryAfter, "the host has to end");
        }
    }
    return all.size();
}

auto Gateway::onLeafDraining(const KnownLeaf &leaf) -> void
{
    this->core->client.rejectQueued(leaf.pool);
}

auto Gateway::onEvacuated(std::string_view dataCentre) -> void
{
    for (const auto &leaf : this->core->directory.inDataCentre(dataCentre)) {
        this->core->client.rejectQueued(leaf->pool);
    }
}

auto Gateway::onLeafCold(const KnownLeaf &leaf) -> void
{
    this->core->metrics.add(this->core->coldLeafs);
    this->core->client.rejectQueued(leaf.pool);
}

auto Gateway::onLeafGone(const KnownLeaf &leaf) -> void
{
    this->core->client.closePool(leaf.pool);
}

auto Gateway::demand() const -> RequestDemand
{
    return this->core->demand();
}

auto Gateway::inFlight() const noexcept -> std::size_t
{
    return this->core->works.size();
}

} // namespace tamarackspan::gateway
