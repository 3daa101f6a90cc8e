#pragma once

#include "tamarackspan/census/host_census.h"
#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/decisions/evacuation_table.h"
#include "tamarackspan/gateway/decisions/reachability_decision.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/gateway/ports.h"
#include "tamarackspan/http/stream_client.h"
#include "tamarackspan/http/stream_server.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/metrics/metric_registry.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

/// Settings of a gateway.
struct GatewaySettings
{
    /// The host's name, unlike that of any other host: how it takes turns with the others at leafs depends on it.
    std::string hostName{};
    std::string dataCentre{};
    ExtraRequestOptions extraRequests{};
    EvacuationOptions evacuation{};
    WarmUpBounds warmUp{};
    /// An answer must be sent this long before the objective, to leave time for merging and writing it; the network time to and from the caller comes on top.
    absl::Duration answerMargin = absl::Milliseconds(4);
    /// The port on which hosts of the same data centre accept forwarded queries from each other.
    std::uint16_t neighbourPort = 0;

    friend auto operator==(const GatewaySettings &, const GatewaySettings &) -> bool = default;
};

/// Snapshot of what a gateway knows about the other hosts.
struct Neighbourhood
{
    /// Number of hosts, this one included, that share the limits which hold over all hosts.
    std::size_t quotaHostCount = 1;
    /// How many of them are coordinators: they send queries over shards to leafs themselves instead of forwarding them.
    std::size_t coordinatorCount = 1;
    /// The greatest number of hosts that may send requests to a cold leaf: those that share limits, or those known in the last hour.
    std::size_t warmUpHostCount = 1;
    /// Whether these counts are only assumed, since this host has just started.
    bool countsAssumed = false;
    /// Whether this host is a coordinator by its capacity.
    bool isCoordinator = true;
    /// Hosts of this data centre with more capacity, to which queries over shards are forwarded; empty if this host is as strong as they are.
    std::vector<census::HostRecord> forwardingTargets{};

    friend auto operator==(const Neighbourhood &, const Neighbourhood &) -> bool = default;
};

/// How a request arrived at this host.
struct Arrival
{
    /// The part of the caller's time that has passed or is needed to send the answer back.
    absl::Duration timeUsed = absl::ZeroDuration();
    /// Whether another host has forwarded it; if so, it is not forwarded again.
    bool forwarded = false;
    /// How many of the operation's attempts may have been used by hosts that had the request before.
    std::uint32_t attemptsUsed = 0;

    friend auto operator==(const Arrival &, const Arrival &) -> bool = default;
};

/// Returns how a request arrived from a caller, or from another host if `fromNeighbour`.
[[nodiscard]] auto arrivalOf(const http::StreamMessage &message, const http::RequestOrigin &origin, bool fromNeighbour) -> Arrival;

/// Serves callers' requests on one event loop's thread: sends them to leafs, or forwards queries over shards to a stronger host of the data centre.
class Gateway
{
public:
    /// Objects passed by reference must outlive the gateway. Requests to leafs and their answers are recorded in `reach`; leafs of data centres that are marked
    /// there as cut off, or that are evacuated, get no requests.
    Gateway(transport::EventLoop &loop, GatewaySettings settings, CallerProtocol callers, LeafProtocol leafs,
            std::function<const Neighbourhood &()> neighbourhood, ReachabilityMap &reach, const EvacuationTable &evacuations, http::StreamClient &client,
            LeafDirectory &directory, metrics::MetricShard &metrics, const logging::Logger &log);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    /// Sets the limits on extra requests to leafs from now on.
    auto setExtraRequests(const ExtraRequestOptions &options) -> void;

    /// Sets the bound on requests to cold leafs from now on.
    auto setWarmUpBounds(const WarmUpBounds &bounds) -> void;

    /// Makes a catalogue effective for the requests that arrive from now on.
    auto setCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void;

    /// Serves a caller's request; the answer is sent through the server that received it.
    auto onRequest(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, Arrival arrival) -> void;

    /// Stops work on a request whose caller has disconnected.
    auto onCallerDisconnected(http::StreamServer &server, http::ExchangeId exchange) -> void;

    /// Serves only requests that are expected to end before `endsAt` from now on; refuses the others as not run before any leaf is asked.
    auto beginStop(absl::Time endsAt) -> void;

    /// Ends all requests under way with a whole answer: a query whose coverage suffices with what has arrived, another request that no leaf can have run as not
    /// run, any other as failed. Returns how many there were.
    auto endAll() -> std::size_t;

    /// Gives the requests that wait for a connection to a draining leaf to other leafs; refuses them if there are none.
    auto onLeafDraining(const KnownLeaf &leaf) -> void;

    /// Gives the requests that wait for a connection to a leaf of an evacuated data centre to other leafs; refuses them if there are none.
    auto onEvacuated(std::string_view dataCentre) -> void;

    /// Gives the requests that wait for a connection to a leaf that has become cold to other leafs.
    auto onLeafCold(const KnownLeaf &leaf) -> void;

    /// Closes the connections to a leaf that is gone, so that nothing more is sent to it.
    auto onLeafGone(const KnownLeaf &leaf) -> void;

    /// Returns the weight of recent requests, and of those whose operations can be served with the reachable leafs.
    [[nodiscard]] auto demand() const -> RequestDemand;

    /// Returns how many requests are in flight.
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::gateway
