#pragma once

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace tamarackspan::gateway {

/// Timeouts for detecting a data centre that can't be reached.
struct ReachabilityOptions
{
    /// How long requests to several leafs must stay unanswered before probes are sent. Leafs pause for up to 250 ms, so this is longer than a pause.
    absl::Duration suspectAfter = absl::Milliseconds(300);
    /// How long other hosts have to reply to probes: allows for network delays of a few milliseconds and for event loops that run late.
    absl::Duration probeTimeout = absl::Milliseconds(200);
    /// How often hosts are probed while a data centre is unresponsive.
    absl::Duration probeInterval = absl::Milliseconds(100);
    /// How often they are probed once it is cut off; see cutOffProbeInterval().
    absl::Duration cutOffProbeInterval = absl::Milliseconds(100);

    friend auto operator==(const ReachabilityOptions &, const ReachabilityOptions &) -> bool = default;
};

/// What a host knows about the reachability of one data centre from its leafs and hosts there.
struct DataCentreReachability
{
    /// This many different leafs must be unresponsive at once: one or two may be down.
    static constexpr auto minUnresponsiveLeafs = std::size_t{5};

    /// When the first request was sent since anything was last received from that data centre; infinite if there is none.
    absl::Time unansweredSince = absl::InfiniteFuture();
    /// Different leafs that were asked since then, identified by their addresses in this process; only the first few are needed.
    std::array<std::uintptr_t, minUnresponsiveLeafs> askedLeafs{};
    std::size_t askedCount = 0;
    /// When the first probe since then was sent; infinite if none was.
    absl::Time probedSince = absl::InfiniteFuture();
    absl::Time nextProbeAt = absl::InfinitePast();
    bool cutOff = false;

    friend auto operator==(const DataCentreReachability &, const DataCentreReachability &) -> bool = default;
};

/// The reachability of each data centre to whose leafs this host sends requests, by name.
using ReachabilityMap = std::map<std::string, DataCentreReachability, std::less<>>;

/// The next step for one data centre.
struct ReachabilityStep
{
    DataCentreReachability next{};
    /// Whether the hosts there are to be probed.
    bool probe = false;

    friend auto operator==(const ReachabilityStep &, const ReachabilityStep &) -> bool = default;
};

/// Returns the state after a request was sent to a leaf there.
[[nodiscard]] auto afterRequest(DataCentreReachability reach, std::uintptr_t leaf, absl::Time now) -> DataCentreReachability;

/// Returns the state after another host reported the data centre as cut off: probes then show whether it is cut off from this host too.
[[nodiscard]] auto afterPeerReport(DataCentreReachability reach, const ReachabilityOptions &options, absl::Time now) -> DataCentreReachability;

/// Returns how often each of the hosts of one data centre probes another that is cut off from them: together they probe it about twenty times a second,
/// whatever their number, and the first that gets a reply tells the others.
[[nodiscard]] auto cutOffProbeInterval(std::size_t hosts) noexcept -> absl::Duration;

/// Returns the state of a data centre after another host of the own one has stated which are out of its reach. One that it names is probed from here as well;
/// so is at once one that is cut off from here and that it doesn't name.
[[nodiscard]] auto afterPeerStatement(DataCentreReachability reach, bool named, const ReachabilityOptions &options, absl::Time now) -> DataCentreReachability;

/// Returns the next step: a data centre whose leafs are unresponsive is probed, and is cut off if none of its hosts replies either. Guards against a network
/// partition between data centres while callers still reach both sides: leafs beyond it aren't tried one by one. When anything is received from the data
/// centre, its state is reset to DataCentreReachability().
[[nodiscard]] auto advanceReachability(DataCentreReachability reach, const ReachabilityOptions &options, absl::Time now) -> ReachabilityStep;

/// Returns whether a data centre has been unresponsive for long enough to be probed, or is cut off.
[[nodiscard]] auto isUnresponsive(const DataCentreReachability &reach, const ReachabilityOptions &options, absl::Time now) -> bool;

/// Returns whether any data centre is cut off.
[[nodiscard]] auto isAnyCutOff(const ReachabilityMap &reach) -> bool;

/// The weight of a host's recent requests.
struct RequestDemand
{
    double asked = 0.0;
    /// Of those whose operations can be served with the leafs that the host reaches.
    double served = 0.0;

    friend auto operator==(const RequestDemand &, const RequestDemand &) -> bool = default;
};

/// What another host of the same data centre last stated.
struct PeerDemand
{
    RequestDemand demand{};
    absl::Time statedAt = absl::InfinitePast();

    friend auto operator==(const PeerDemand &, const PeerDemand &) -> bool = default;
};

/// The hosts of the same data centre that state that others are out of reach, by name.
using PeerDemands = std::map<std::string, PeerDemand, std::less<>>;

/// Returns the share of recent requests to this host and its peers that can be served, from 0 to 1; 1 without any requests. Peers count as long as their
/// statements are fresh. Guards against a data centre that is cut off and whose hosts find that out one by one, as callers reach them: the platform sends
/// callers elsewhere only once no host of the data centre takes them any more.
[[nodiscard]] auto servableShare(const RequestDemand &own, const PeerDemands &peers, absl::Time now) -> double;

/// Returns what a host states to others: its own demand, or, if it had no requests, with little weight the share of its peers, so that it reaches hosts that
/// have heard of no requests.
[[nodiscard]] auto statedDemand(const RequestDemand &own, const PeerDemands &peers, absl::Time now) -> RequestDemand;

/// Input to the decision whether this host reports itself unready.
struct ReadinessView
{
    /// Hosts that aren't cut off, this one included; below, all known hosts.
    std::size_t hostsInReach = 1;
    std::size_t allHosts = 1;
    /// The share of recent requests that can be served with the reachable leafs, from 0 to 1.
    double servable = 1.0;

    friend auto operator==(const ReadinessView &, const ReadinessView &) -> bool = default;
};

/// Returns whether a host should report that it isn't ready, so that the balancer sends callers to a data centre that can serve them: it reaches fewer than
/// half of the hosts, and can't serve enough of the requests. With a partition into two equal halves, both go on serving.
[[nodiscard]] auto shouldReportUnready(const ReadinessView &view) -> bool;

} // namespace tamarackspan::gateway
