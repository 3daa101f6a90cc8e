#pragma once

#include "tamarackspan/census/census_link.h"
#include "tamarackspan/census/host_census.h"
#include "tamarackspan/gateway/decisions/evacuation_table.h"
#include "tamarackspan/gateway/decisions/pause_detector.h"
#include "tamarackspan/gateway/decisions/reachability_decision.h"
#include "tamarackspan/gateway/document_follower.h"
#include "tamarackspan/gateway/gateway.h"
#include "tamarackspan/gateway/gateway_host.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/http/stream_client.h"
#include "tamarackspan/http/stream_server.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/metrics/metric_registry.h"

#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace tamarackspan::gateway::impl {

/// The parts of a running host, in the order in which they depend on each other. What other hosts state, and which data centres are in reach or evacuated, is
/// handled in host_reach.cpp, all else in host.cpp.
class Host
{
public:
    /// The loop must outlive the host.
    Host(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports);

    /// Binds all ports and begins to read the store. Returns false, after logging why, if a port can't be bound.
    auto start() -> bool;

    /// Handles a signal that was received: SIGHUP reads the settings again, any other begins the planned stop.
    auto onSignalByte(char signal) -> void;

private:
    /// Binds a server's port; logs an error that names its purpose if that fails.
    auto listen(http::StreamServer &server, const transport::Endpoint &endpoint, std::string_view purpose) -> bool;

    /// Accepts queries from other hosts once leafs are known; until then a refused connection sends them elsewhere at once.
    auto listenForNeighbours() -> void;

    /// Returns what the census knows, refreshed at most every 100 ms: each request asks several times.
    auto currentNeighbourhood() -> const Neighbourhood &;

    auto onUnreadAnswer(std::string_view reader, const http::UnreadAnswer &unread) -> void;

    auto ready() const -> bool;

    auto scheduleReachCheck() -> void;

    auto onHostHeard(const census::HostRecord &host) -> void;

    /// Records what another host of the own data centre states. The data centres that it can't reach are probed from here as well.
    auto onReachStated(const census::HostReport &report) -> void;

    auto onRevisionStated(const census::HostReport &report) -> void;

    auto onEvacuationsStated(const census::HostReport &report) -> void;

    /// Puts a new table of evacuations into effect, and tells other hosts of what has changed.
    auto applyEvacuations(EvacuationStep step) -> void;

    /// Probes unresponsive data centres, and reports unready while other hosts serve callers better.
    auto checkReach() -> void;

    auto noteCutOff(std::set<std::string, std::less<>> cutOff) -> void;

    auto onMonitoringRequest(http::ExchangeId id, const http::StreamMessage &message) -> void;

    /// Returns how old what is known of the store is, in milliseconds; -1 before the first reads.
    [[nodiscard]] auto knowledgeAgeMs() const -> std::int64_t;

    /// Returns the metric of how old what is known of the store is; nothing before the first reads.
    [[nodiscard]] auto knowledgeAge() const -> std::string;

    auto onDirectoryEvent(const DirectoryEvent &event) -> void;

    /// While a leaf is only assumed to be cold, makes sure that its next entry is read also if it is the same as before.
    auto readEntryAgain(const std::shared_ptr<KnownLeaf> &leaf) -> void;

    auto onCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void;

    auto scheduleSettingsCheck() -> void;

    auto reload(std::string_view cause) -> void;

    auto stop() -> void;

    auto checkStop() -> void;

    /// Takes no more connections and answers all that is under way; requests that still come on open connections are refused.
    auto endService() -> void;

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
    EvacuationTable evacuations{};
    std::set<std::string, std::less<>> cutOffDataCentres{};
    /// The leafs that are only assumed to be cold.
    std::set<std::shared_ptr<KnownLeaf>> entriesAwaited{};
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

} // namespace tamarackspan::gateway::impl
