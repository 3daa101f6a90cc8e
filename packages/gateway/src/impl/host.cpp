#include "impl/host.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/gateway/decisions/memory_shares.h"
#include "tamarackspan/metrics/prometheus.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <csignal>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarackspan::gateway::impl {

namespace {

/// How often the settings file is checked for changes.
constexpr auto settingsCheckInterval = absl::Seconds(1);
/// Maximum age of the counts of hosts: hosts report every second.
constexpr auto maxNeighbourhoodAge = absl::Milliseconds(100);
/// How often a starting host checks whether its leafs are known.
constexpr auto documentsCheckInterval = absl::Milliseconds(20);
/// How often a stopping host checks whether it may end.
constexpr auto stopCheckInterval = absl::Milliseconds(50);
/// How often unresponsive data centres are checked: a fraction of the time after which missing answers count.
constexpr auto reachCheckInterval = absl::Milliseconds(50);
/// Maximum size of the header fields that a host adds to a forwarded query.
constexpr auto forwardedFieldBytes = std::size_t{1024};

/// Returns the log message for a kind of change among the leafs.
auto kindName(DirectoryEvent::Kind kind) -> std::string_view
{
    switch (kind) {
    case DirectoryEvent::Kind::LeafAdded:
        return "a leaf was added";
    case DirectoryEvent::Kind::LeafChanged:
        return "a leaf's entry has changed";
    case DirectoryEvent::Kind::LeafDraining:
        return "a leaf is about to leave";
    case DirectoryEvent::Kind::LeafCold:
        return "a leaf is cold; the requests to it are limited";
    case DirectoryEvent::Kind::LeafMissing:
        return "a leaf's entry is missing";
    case DirectoryEvent::Kind::LeafGone:
        return "a leaf is gone";
    }
    return "unknown";
}

} // namespace

Host::Host(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports)
    : loop(loop),
      settings(settings),
      ports(std::move(ports)),
      log("gateway"),
      shard(registry.makeShard()),
      client(loop, http::StreamClientOptions{}),
      directory([this](const DirectoryEvent &event) {
          this->onDirectoryEvent(event);
      }),
      census({.name = settings.hostName,
              .ip = settings.census.ip,
              .dataCentre = settings.gateway.dataCentre,
              .capacity = settings.capacity,
              .incarnation = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()))},
             census::CensusOptions{}, base::monotonicNow()),
      censusLink(loop, settings.census, census, base::stableHash(settings.hostName.data(), settings.hostName.size()),
                 [this](const census::HostReport &report) {
                     this->onHostHeard(report.records.front());
                     this->onReachStated(report);
                     this->onRevisionStated(report);
                     this->onEvacuationsStated(report);
                 }),
      gateway(
          loop, settings.gateway, this->ports.callers, this->ports.leafs,
          [this]() -> const Neighbourhood & {
              return this->currentNeighbourhood();
          },
          reach, evacuations, client, directory, shard, log),
      callerServer(loop, http::StreamServerLimits{},
                   {.onRequest =
                        [this](http::ExchangeId id, http::StreamMessage message, http::RequestOrigin origin) {
                            const auto arrival = arrivalOf(message, origin, false);
                            this->gateway.onRequest(this->callerServer, id, std::move(message), arrival);
                        },
                    .onCallerDisconnected =
                        [this](http::ExchangeId id) {
                            this->gateway.onCallerDisconnected(this->callerServer, id);
                        },
                    .onUnreadAnswer =
                        [this](const http::UnreadAnswer &unread) {
                            this->onUnreadAnswer("caller", unread);
                        }}),
      neighbourServer(loop, http::StreamServerLimits{},
                      {.onRequest =
                           [this](http::ExchangeId id, http::StreamMessage message, http::RequestOrigin origin) {
                               const auto arrival = arrivalOf(message, origin, true);
                               this->gateway.onRequest(this->neighbourServer, id, std::move(message), arrival);
                           },
                       .onCallerDisconnected =
                           [this](http::ExchangeId id) {
                               this->gateway.onCallerDisconnected(this->neighbourServer, id);
                           },
                       .onUnreadAnswer =
                           [this](const http::UnreadAnswer &unread) {
                               this->onUnreadAnswer("another host", unread);
                           }}),
      monitoringServer(loop, http::StreamServerLimits{},
                       {.onRequest =
                            [this](http::ExchangeId id, const http::StreamMessage &message, http::RequestOrigin) {
                                this->onMonitoringRequest(id, message);
                            },
                        .onCallerDisconnected = [](http::ExchangeId) {}}),
      follower(
          loop, this->ports.documents, directory, settings.follower,
          {.reader = base::mixBits(base::stableHash(settings.hostName.data(), settings.hostName.size())) ^ census.self().incarnation,
           .rank =
               [this] {
                   return this->census.rank(base::monotonicNow());
               },
           .spread =
               [this](const census::RevisionStatement &statement, bool ownRead) {
                   this->censusLink.spreadRevision(statement, ownRead);
               }},
          [this](std::shared_ptr<const Catalogue> catalogue) {
              this->onCatalogue(std::move(catalogue));
          },
          log,
          [this](const EvacuationReading &reading) {
              this->applyEvacuations(afterReading(this->evacuations, reading, base::monotonicNow()));
          }),
      stamp(this->ports.settingsStamp())
{
    const auto shares = memoryShares(settings.memoryBytes);
    this->callerServer.setUnreadAnswerLimits({.connectionBytes = shares.connectionAnswers, .totalBytes = shares.callerAnswers});
    this->neighbourServer.setUnreadAnswerLimits({.connectionBytes = shares.connectionAnswers, .totalBytes = shares.neighbourAnswers});
}

auto Host::start() -> bool
{
    for (const auto &[server, endpoint, purpose] : std::initializer_list<std::tuple<http::StreamServer *, transport::Endpoint, std::string_view>>{
             {&this->callerServer, this->settings.callers, "callers"},
             {&this->monitoringServer, this->settings.readiness, "readiness"},
             {&this->monitoringServer, this->settings.metrics, "metrics"}}) {
        if (!this->listen(*server, endpoint, purpose)) {
            return false;
        }
    }
    this->log.info(
        "started",
        {{"host", this->settings.hostName}, {"callers", transport::toString(this->settings.callers)}, {"data_centre", this->settings.gateway.dataCentre}});
    if (const auto status = this->censusLink.start(); !status.ok()) {
        this->log.error("can't listen on an address", {{"purpose", "census"}, {"port", this->settings.census.port}, {"error", status.message()}});
        return false;
    }
    this->follower.start();
    this->listenForNeighbours();
    this->scheduleSettingsCheck();
    this->scheduleReachCheck();
    return true;
}

auto Host::onSignalByte(char signal) -> void
{
    if (signal == SIGHUP) {
        this->reload("SIGHUP");
    } else {
        this->stop();
    }
}

auto Host::listen(http::StreamServer &server, const transport::Endpoint &endpoint, std::string_view purpose) -> bool
{
    const auto port = server.listen(endpoint);
    if (!port.ok()) {
        this->log.error("can't listen on an address", {{"purpose", purpose}, {"address", transport::toString(endpoint)}, {"error", port.status().message()}});
    }
    return port.ok();
}

auto Host::listenForNeighbours() -> void
{
    if (this->stopping) {
        return;
    }
    if (this->follower.complete()) {
        this->listen(this->neighbourServer, {.ip = this->settings.callers.ip, .port = this->settings.gateway.neighbourPort}, "neighbours");
        return;
    }
    this->loop.runAt(base::monotonicNow() + documentsCheckInterval, [this] {
        this->listenForNeighbours();
    });
}

auto Host::currentNeighbourhood() -> const Neighbourhood &
{
    const auto now = base::monotonicNow();
    if (now - this->neighbourhoodAt >= maxNeighbourhoodAge) {
        this->neighbourhoodAt = now;
        const auto quotaHosts = this->census.quotaHostCount(now);
        this->neighbourhood = {.quotaHostCount = quotaHosts,
                               .coordinatorCount = this->census.coordinatorCount(now),
                               .warmUpHostCount = std::max(quotaHosts, this->census.knownHostCount()),
                               .countsAssumed = !this->census.isSettled(now),
                               .isCoordinator = this->census.isCoordinator(now),
                               .forwardingTargets = this->census.forwardingTargets(now)};
    }
    return this->neighbourhood;
}

auto Host::ready() const -> bool
{
    return !this->stopping && this->follower.complete() && !this->unreadySince.has_value();
}

auto Host::scheduleReachCheck() -> void
{
    this->loop.runAt(base::monotonicNow() + reachCheckInterval, [this] {
        this->pauses.tick(base::monotonicNow());
        this->checkReach();
        if (!this->evacuations.empty()) {
            this->applyEvacuations(afterOwnReads(this->evacuations, this->follower.knownUntil(), base::monotonicNow()));
        }
        this->scheduleReachCheck();
    });
}

auto Host::onMonitoringRequest(http::ExchangeId id, const http::StreamMessage &message) -> void
{
    if (message.target.starts_with("/metrics")) {
        auto body = metrics::toPrometheus(this->registry.snapshot());
        absl::StrAppend(&body, "tamarackspan_leaf_connections_opened_total ", this->client.connectionsOpened(), "\n", "tamarackspan_store_calls_total ",
                        this->follower.calls(), "\n", "tamarackspan_store_current_reads_total ", this->follower.currentReads(), "\n", "tamarackspan_store_era ",
                        this->follower.era(), "\n", this->knowledgeAge(), "tamarackspan_requests_under_way ", this->gateway.inFlight(), "\n",
                        "tamarackspan_known_leafs ", this->directory.size(), "\n", "tamarackspan_unread_answer_bytes ",
                        this->callerServer.unreadBytes() + this->neighbourServer.unreadBytes(), "\n", "tamarackspan_evacuated_data_centres ",
                        evacuatedCount(this->evacuations), "\n", "tamarackspan_known_hosts ", this->census.quotaHostCount(base::monotonicNow()), "\n");
        this->monitoringServer.answer(id, {.status = 200, .headers = {{"Content-Type", metrics::prometheusContentType}}, .body = std::move(body)});
        return;
    }
    const auto ready = this->ready();
    if (std::exchange(this->reportedReady, ready) != ready) {
        this->log.info(ready ? "says that it is ready" : "says that it isn't ready", {{"leafs", this->directory.size()}, {"stopping", this->stopping}});
    }
    this->monitoringServer.answer(id, {.status = ready ? 200U : 503U});
}

auto Host::knowledgeAgeMs() const -> std::int64_t
{
    const auto until = this->follower.knownUntil();
    return until == absl::InfinitePast() ? -1 : absl::ToInt64Milliseconds(base::monotonicNow() - until);
}

auto Host::knowledgeAge() const -> std::string
{
    const auto until = this->follower.knownUntil();
    if (until == absl::InfinitePast()) {
        return {};
    }
    return absl::StrCat("tamarackspan_store_knowledge_age_seconds ", absl::ToDoubleSeconds(base::monotonicNow() - until), "\n");
}

auto Host::onDirectoryEvent(const DirectoryEvent &event) -> void
{
    const auto &entry = event.leaf->entry;
    this->log.info(kindName(event.kind),
                   {{"leaf", entry.id},
                    {"service", entry.service},
                    {"address", transport::toString(entry.endpoint)},
                    {"sequence", entry.sequence},
                    {"started_at", entry.startedAt}});
    if (event.kind == DirectoryEvent::Kind::LeafGone) {
        this->gateway.onLeafGone(*event.leaf);
    } else if (event.kind == DirectoryEvent::Kind::LeafDraining) {
        this->gateway.onLeafDraining(*event.leaf);
    } else if (event.kind == DirectoryEvent::Kind::LeafCold) {
        this->gateway.onLeafCold(*event.leaf);
        if (this->entriesAwaited.insert(event.leaf).second) {
            this->readEntryAgain(event.leaf);
        }
    }
}

auto Host::readEntryAgain(const std::shared_ptr<KnownLeaf> &leaf) -> void
{
    const auto now = base::monotonicNow();
    if (leaf->gone || now >= leaf->coldAssumedUntil || !this->ports.documents.forgetLeaf) {
        this->entriesAwaited.erase(leaf);
        return;
    }
    if (now >= leaf->coldAssumedAt + maxEntryDelay) {
        this->ports.documents.forgetLeaf(leaf->entry.id);
    }
    this->loop.runAt(now + maxEntryDelay, [this, leaf] {
        this->readEntryAgain(leaf);
    });
}

auto Host::onCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void
{
    const auto &limits = catalogue->limits;
    this->callerServer.setLimits({.message = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes},
                                  .headerTimeout = limits.headerTimeout,
                                  .idleTimeout = limits.idleTimeout});
    // Another host forwards what its own catalogue allows, which may be an earlier or a later one, with some fields of its own.
    this->neighbourLimits.headerBytes = std::max(this->neighbourLimits.headerBytes, limits.headerBytes + forwardedFieldBytes);
    this->neighbourLimits.bodyBytes = std::max(this->neighbourLimits.bodyBytes, limits.bodyBytes);
    this->neighbourServer.setLimits({.message = this->neighbourLimits});
    this->gateway.setCatalogue(std::move(catalogue));
}

auto Host::scheduleSettingsCheck() -> void
{
    this->loop.runAt(base::monotonicNow() + settingsCheckInterval, [this] {
        if (const auto now = this->ports.settingsStamp(); now != this->stamp) {
            this->stamp = now;
            this->reload("the settings file has changed");
        }
        this->scheduleSettingsCheck();
    });
}

auto Host::reload(std::string_view cause) -> void
{
    if (this->stopping) {
        return;
    }
    const auto change = this->ports.readSettings();
    if (!change.has_value()) {
        this->log.warning("the settings can't be used; the current ones stay in force", {{"cause", cause}});
        return;
    }
    this->log.info("settings were read again", {{"cause", cause}, {"in_force", absl::StrJoin(change->inForce, "; ")}});
    if (!change->needRestart.empty()) {
        this->log.warning("settings differ from those in force until the host is restarted", {{"fields", absl::StrJoin(change->needRestart, "; ")}});
    }
    this->settings = change->settings;
    this->censusLink.setSeeds(this->settings.census.reports.seeds);
    this->gateway.setExtraRequests(this->settings.gateway.extraRequests);
    this->gateway.setWarmUpBounds(this->settings.gateway.warmUp);
    this->follower.setSettings(this->settings.follower);
    if (change->storeMoved) {
        this->follower.onStoreMoved();
    }
}

auto Host::stop() -> void
{
    if (std::exchange(this->stopping, true)) {
        return;
    }
    this->stopBegan = base::monotonicNow();
    this->log.info("stopping", {{"under_way", this->gateway.inFlight()}, {"connections", this->callerServer.openConnections()}});
    this->census.announceStop();
    this->censusLink.sendReports();
    this->callerServer.setDraining(true);
    this->neighbourServer.setDraining(true);
    this->gateway.beginStop(this->stopBegan + this->settings.stop.grace - this->settings.stop.reserve);
    this->checkStop();
}

auto Host::checkStop() -> void
{
    const auto since = base::monotonicNow() - this->stopBegan;
    const auto &options = this->settings.stop;
    if (since >= options.grace - options.reserve && !std::exchange(this->serviceEnded, true)) {
        this->endService();
    }
    if (since >= options.balancerWait || this->serviceEnded) {
        this->callerServer.closeIdle();
    }
    const auto quiet = this->callerServer.openConnections() == 0 && this->neighbourServer.unfinished() == 0 && this->gateway.inFlight() == 0;
    if ((quiet && (since >= options.balancerWait || this->serviceEnded)) || since >= options.grace - options.exitMargin) {
        this->log.info("stopped",
                       {{"unanswered", this->callerServer.unanswered() + this->neighbourServer.unanswered()},
                        {"unsent", this->callerServer.unfinished() + this->neighbourServer.unfinished()},
                        {"connections", this->callerServer.openConnections()},
                        {"ms", absl::ToInt64Milliseconds(since)}});
        this->loop.stop();
        return;
    }
    this->loop.runAt(base::monotonicNow() + stopCheckInterval, [this] {
        this->checkStop();
    });
}

auto Host::endService() -> void
{
    this->callerServer.stopListening();
    this->neighbourServer.stopListening();
    const auto ended = this->gateway.endAll();
    this->log.info("the grace ends; no connections are taken any more", {{"ended", ended}, {"connections", this->callerServer.openConnections()}});
}

} // namespace tamarackspan::gateway::impl
