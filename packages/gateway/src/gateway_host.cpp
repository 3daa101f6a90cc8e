#include "tamarackspan/gateway/gateway_host.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/gateway/decisions/memory_shares.h"
#include "tamarackspan/gateway/decisions/pause_detector.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/http/stream_client.h"
#include "tamarackspan/http/stream_server.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/metrics/metric_registry.h"
#include "tamarackspan/metrics/prometheus.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::gateway {

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
constexpr auto cannotServe = 4;

/// The write end of the pipe through which signals reach the loop; written by the handler only.
volatile std::sig_atomic_t signalPipe = -1;

auto onSignal(int signal) -> void
{
    const auto byte = static_cast<char>(signal);
    std::ignore = ::write(signalPipe, &byte, 1);
}

auto installHandlers(int pipe) -> void
{
    signalPipe = pipe;
    struct sigaction action = {};
    action.sa_handler = &onSignal;
    for (const auto signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaction(signal, &action, nullptr);
    }
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

auto kindName(DirectoryEvent::Kind kind) -> std::string_view
{
    switch (kind) {
    case DirectoryEvent::Kind::LeafAdded:
        return "a leaf was added";
    case DirectoryEvent::Kind::LeafChanged:
        return "a leaf's entry has changed";
    case DirectoryEvent::Kind::LeafDraining:
        return "a leaf is about to leave";
    case DirectoryEvent::Kind::LeafMissing:
        return "a leaf's entry is missing";
    case DirectoryEvent::Kind::LeafGone:
        return "a leaf is gone";
    }
    return "unknown";
}

/// The parts of a running host, in the order in which they depend on each other.
class Host
{
public:
    Host(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports)
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
                     }),
          gateway(
              loop, settings.gateway, this->ports.callers, this->ports.leafs,
              [this]() -> const Neighbourhood & {
                  return this->currentNeighbourhood();
              },
              reach, client, directory, shard, log),
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
              log),
          stamp(this->ports.settingsStamp())
    {
        const auto shares = memoryShares(settings.memoryBytes);
        this->callerServer.setUnreadAnswerLimits({.connectionBytes = shares.connectionAnswers, .totalBytes = shares.callerAnswers});
        this->neighbourServer.setUnreadAnswerLimits({.connectionBytes = shares.connectionAnswers, .totalBytes = shares.neighbourAnswers});
    }

    auto start() -> bool
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

    auto onSignalByte(char signal) -> void
    {
        if (signal == SIGHUP) {
            this->reload("SIGHUP");
        } else {
            this->stop();
        }
    }

private:
    auto listen(http::StreamServer &server, const transport::Endpoint &endpoint, std::string_view purpose) -> bool
    {
        const auto port = server.listen(endpoint);
        if (!port.ok()) {
            this->log.error("can't listen on an address",
                            {{"purpose", purpose}, {"address", transport::toString(endpoint)}, {"error", port.status().message()}});
        }
        return port.ok();
    }

    /// Accepts queries from other hosts once leafs are known; until then a refused connection sends them elsewhere at once.
    auto listenForNeighbours() -> void
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

    /// Returns what the census knows, refreshed at most every maxNeighbourhoodAge: each request asks several times.
    auto currentNeighbourhood() -> const Neighbourhood &
    {
        const auto now = base::monotonicNow();
        if (now - this->neighbourhoodAt >= maxNeighbourhoodAge) {
            this->neighbourhoodAt = now;
            this->neighbourhood = {.quotaHostCount = this->census.quotaHostCount(now),
                                   .coordinatorCount = this->census.coordinatorCount(now),
                                   .countsAssumed = !this->census.isSettled(now),
                                   .isCoordinator = this->census.isCoordinator(now),
                                   .forwardingTargets = this->census.forwardingTargets(now)};
        }
        return this->neighbourhood;
    }

    auto onUnreadAnswer(std::string_view reader, const http::UnreadAnswer &unread) -> void
    {
        this->shard.add(this->unreadAnswers);
        this->log.warning("an answer isn't read and takes too much memory; its connection is closed",
                          {{"reader", reader}, {"bytes", unread.bytes}, {"ms", absl::ToInt64Milliseconds(unread.heldFor)}, {"total_bytes", unread.totalBytes}});
    }

    auto ready() const -> bool
    {
        return !this->stopping && this->follower.complete() && !this->unreadySince.has_value();
    }

    auto scheduleReachCheck() -> void
    {
        this->loop.runAt(base::monotonicNow() + reachCheckInterval, [this] {
            this->pauses.tick(base::monotonicNow());
            this->checkReach();
            this->scheduleReachCheck();
        });
    }

    auto onHostHeard(const census::HostRecord &host) -> void
    {
        const auto start = this->census.self().incarnation;
        if (const auto before = std::exchange(this->announcedIncarnation, start); before != start) {
            this->log.warning("others took an earlier start of this host for newer: the clock was set back", {{"start", start}, {"before", before}});
        }
        if (const auto reached = this->reach.find(host.dataCentre); reached != this->reach.end()) {
            reached->second = DataCentreReachability();
        }
    }

    /// Records what another host of the own data centre states. The data centres that it can't reach are probed from here as well.
    auto onReachStated(const census::HostReport &report) -> void
    {
        const auto &sender = report.records.front();
        const auto &own = this->settings.gateway.dataCentre;
        const auto &statement = report.reach;
        if (sender.dataCentre != own || sender.name == this->settings.hostName) {
            return;
        }
        if (statement.outOfReach.empty()) {
            this->peerDemands.erase(sender.name);
            if (this->cutOffDataCentres.empty()) {
                return;
            }
        }
        const auto now = base::monotonicNow();
        const auto known = this->census.lastKnownHostsByDataCentre();
        for (const auto &name : statement.outOfReach) {
            if (name != own && known.contains(name)) {
                this->reach.try_emplace(name);
            }
        }
        for (auto &[name, reached] : this->reach) {
            if (name == own) {
                continue;
            }
            const auto named = std::ranges::find(statement.outOfReach, name) != statement.outOfReach.end();
            const auto before = std::exchange(reached, afterPeerStatement(reached, named, ReachabilityOptions(), now));
            if (reached.unansweredSince != before.unansweredSince) {
                this->log.info("another host can't reach a data centre; it is probed from here too", {{"host", sender.name}, {"data_centre", name}});
            }
        }
        if (!statement.outOfReach.empty() && known.contains(own) && this->peerDemands.size() < known.at(own)) {
            this->peerDemands[sender.name] = {.demand = {.asked = statement.asked, .served = statement.served}, .statedAt = now};
        }
    }

    auto onRevisionStated(const census::HostReport &report) -> void
    {
        if (!report.revision.has_value()) {
            return;
        }
        if (this->pauses.mayBeDelayed(base::monotonicNow())) {
            this->shard.add(this->delayedStatements);
            return;
        }
        this->follower.noteStatement(*report.revision);
    }

    /// Probes unresponsive data centres, and reports unready while other hosts serve callers better.
    auto checkReach() -> void
    {
        const auto now = base::monotonicNow();
        const auto allResponsive = std::ranges::none_of(this->reach, [now](const auto &entry) {
            return isUnresponsive(entry.second, ReachabilityOptions(), now);
        });
        if (allResponsive && this->cutOffDataCentres.empty()) {
            return;
        }
        const auto lastHosts = this->census.lastKnownHostsByDataCentre();
        const auto selfIn = [this](std::string_view dataCentre) {
            return dataCentre == this->settings.gateway.dataCentre ? std::size_t{1} : std::size_t{0};
        };
        const auto peers = lastHosts.find(this->settings.gateway.dataCentre);
        const auto options = ReachabilityOptions{.cutOffProbeInterval = cutOffProbeInterval(peers == lastHosts.end() ? 1 : peers->second)};
        auto cutOff = std::set<std::string, std::less<>>();
        for (auto &[dataCentre, reached] : this->reach) {
            const auto known = lastHosts.find(dataCentre);
            // Without other hosts there that could reply to probes, a data centre isn't checked.
            const auto step = known != lastHosts.end() && known->second > selfIn(dataCentre) ? advanceReachability(reached, options, now) : ReachabilityStep();
            reached = step.next;
            if (step.probe) {
                this->censusLink.probe(dataCentre);
            }
            if (reached.cutOff) {
                cutOff.insert(dataCentre);
            }
        }
        this->noteCutOff(cutOff);
        const auto demand = cutOff.empty() ? RequestDemand() : this->gateway.demand();
        const auto stated = statedDemand(demand, this->peerDemands, now);
        this->censusLink.setReach(
            {.outOfReach = {cutOff.begin(), cutOff.end()}, .asked = static_cast<float>(stated.asked), .served = static_cast<float>(stated.served)});
        auto view = ReadinessView{.hostsInReach = 0, .allHosts = 0, .servable = cutOff.empty() ? 1.0 : servableShare(demand, this->peerDemands, now)};
        // Counts only hosts that the census still regards as alive: those that have been unreachable for long may be lost and can't take over callers.
        for (const auto &[dataCentre, count] : this->census.hostsByDataCentre(now)) {
            view.allHosts += count;
            view.hostsInReach += cutOff.contains(dataCentre) ? selfIn(dataCentre) : count;
        }
        const auto unready = shouldReportUnready(view);
        if (unready != this->unreadySince.has_value()) {
            this->unreadySince = unready ? std::optional(now) : std::nullopt;
            this->log.info(unready ? "leaves callers to hosts that reach more leafs" : "takes callers again",
                           {{"servable", view.servable}, {"peers", this->peerDemands.size()}, {"hosts_in_reach", view.hostsInReach}, {"hosts", view.allHosts}});
        }
        // Once the balancer sends new connections elsewhere, callers with open connections are better served by reconnecting.
        this->callerServer.setDraining(this->stopping || (unready && now - *this->unreadySince >= this->settings.stop.balancerWait));
    }

    auto noteCutOff(std::set<std::string, std::less<>> cutOff) -> void
    {
        if (cutOff != this->cutOffDataCentres) {
            this->log.warning("data centres out of reach", {{"now", absl::StrJoin(cutOff, ",")}, {"before", absl::StrJoin(this->cutOffDataCentres, ",")}});
            this->cutOffDataCentres = std::move(cutOff);
        }
    }

    auto onMonitoringRequest(http::ExchangeId id, const http::StreamMessage &message) -> void
    {
        if (message.target.starts_with("/metrics")) {
            auto body = metrics::toPrometheus(this->registry.snapshot());
            absl::StrAppend(&body, "tamarackspan_leaf_connections_opened_total ", this->client.connectionsOpened(), "\n", "tamarackspan_store_calls_total ",
                            this->follower.calls(), "\n", "tamarackspan_store_current_reads_total ", this->follower.currentReads(), "\n", this->knowledgeAge(),
                            "tamarackspan_requests_under_way ", this->gateway.inFlight(), "\n", "tamarackspan_known_leafs ", this->directory.size(), "\n",
                            "tamarackspan_unread_answer_bytes ", this->callerServer.unreadBytes() + this->neighbourServer.unreadBytes(), "\n",
                            "tamarackspan_known_hosts ", this->census.quotaHostCount(base::monotonicNow()), "\n");
            this->monitoringServer.answer(id, {.status = 200, .headers = {{"Content-Type", metrics::prometheusContentType}}, .body = std::move(body)});
            return;
        }
        const auto ready = this->ready();
        if (std::exchange(this->reportedReady, ready) != ready) {
            this->log.info(ready ? "says that it is ready" : "says that it isn't ready", {{"leafs", this->directory.size()}, {"stopping", this->stopping}});
        }
        this->monitoringServer.answer(id, {.status = ready ? 200U : 503U});
    }

    /// Returns the metric of how old what is known of the store is; nothing before the first reads.
    [[nodiscard]] auto knowledgeAge() const -> std::string
    {
        const auto until = this->follower.knownUntil();
        if (until == absl::InfinitePast()) {
            return {};
        }
        return absl::StrCat("tamarackspan_store_knowledge_age_seconds ", absl::ToDoubleSeconds(base::monotonicNow() - until), "\n");
    }

    auto onDirectoryEvent(const DirectoryEvent &event) -> void
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
        }
    }

    auto onCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void
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

    auto scheduleSettingsCheck() -> void
    {
        this->loop.runAt(base::monotonicNow() + settingsCheckInterval, [this] {
            if (const auto now = this->ports.settingsStamp(); now != this->stamp) {
                this->stamp = now;
                this->reload("the settings file has changed");
            }
            this->scheduleSettingsCheck();
        });
    }

    auto reload(std::string_view cause) -> void
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
        this->follower.setSettings(this->settings.follower);
        if (change->storeMoved) {
            this->follower.onStoreMoved();
        }
    }

    auto stop() -> void
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

    auto checkStop() -> void
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

    /// Takes no more connections and answers all that is under way; requests that still come on open connections are refused.
    auto endService() -> void
    {
        this->callerServer.stopListening();
        this->neighbourServer.stopListening();
        const auto ended = this->gateway.endAll();
        this->log.info("the grace ends; no connections are taken any more", {{"ended", ended}, {"connections", this->callerServer.openConnections()}});
    }

    transport::EventLoop &loop;
    GatewayHostSettings settings;
    GatewayPorts ports;
    logging::Logger log;
    metrics::MetricRegistry registry;
    metrics::MetricShard &shard;
    metrics::CounterId delayedStatements = shard.counter({.metric = "tamarackspan_delayed_statements_total", .labels = {}});
    metrics::CounterId unreadAnswers = shard.counter({.metric = "tamarackspan_unread_answers_closed_total", .labels = {}});
    PauseDetector pauses;
    http::StreamClient client;
    LeafDirectory directory;
    census::HostCensus census;
    census::CensusLink censusLink;
    ReachabilityMap reach{};
    std::set<std::string, std::less<>> cutOffDataCentres{};
    PeerDemands peerDemands;
    /// Since when this host has reported unready because other hosts serve callers better.
    std::optional<absl::Time> unreadySince{};
    Neighbourhood neighbourhood{};
    absl::Time neighbourhoodAt = absl::InfinitePast();
    Gateway gateway;
    http::StreamServer callerServer;
    /// Accepts queries from other hosts.
    http::StreamServer neighbourServer;
    http::StreamServer monitoringServer;
    /// The largest limits of all catalogues so far.
    http::MessageLimits neighbourLimits{};
    DocumentFollower follower;
    std::uint64_t stamp;
    bool stopping = false;
    bool serviceEnded = false;
    bool reportedReady = false;
    /// This host's incarnation as last announced to other hosts.
    std::uint64_t announcedIncarnation = this->census.self().incarnation;
    absl::Time stopBegan = absl::InfinitePast();
};

} // namespace

auto runGatewayHost(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports) -> int
{
    auto pipe = std::array<int, 2>();
    if (::pipe2(pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return cannotServe;
    }
    installHandlers(pipe[1]);
    auto host = Host(loop, settings, std::move(ports));
    if (!host.start()) {
        return cannotServe;
    }
    loop.watch(pipe[0], EPOLLIN, [&host, &pipe](std::uint32_t) {
        auto signal = char{0};
        while (::read(pipe[0], &signal, 1) == 1) {
            host.onSignalByte(signal);
        }
    });
    loop.run();
    loop.unwatch(pipe[0]);
    return 0;
}

} // namespace tamarackspan::gateway
