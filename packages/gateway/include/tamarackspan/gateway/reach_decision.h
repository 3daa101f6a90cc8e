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
struct ReachTerms
{
    /// How long requests to several leafs must stay unanswered before probes are sent. Leafs pause for up to 250 ms, so this is longer than a pause.
    absl::Duration suspectAfter = absl::Milliseconds(300);
    /// How long other hosts have to reply to probes: allows for network delays of a few milliseconds and for event loops that run late.
    absl::Duration probePatience = absl::Milliseconds(200);
    /// How often hosts are probed while a data centre is unresponsive.
    absl::Duration probeInterval = absl::Milliseconds(100);

    friend auto operator==(const ReachTerms &, const ReachTerms &) -> bool = default;
};

/// What a host knows about the reachability of one data centre from its leafs and hosts there.
struct DataCentreReach
{
    /// This many different leafs must be unresponsive at once: one or two may be down.
    static constexpr auto enoughLeafs = std::size_t{5};

    /// When the first request was sent since anything was last received from that data centre; infinite if there is none.
    absl::Time silentSince = absl::InfiniteFuture();
    /// Different leafs that were asked since then, identified by their addresses in this process; only the first few are needed.
    std::array<std::uintptr_t, enoughLeafs> askedLeafs{};
    std::size_t askedCount = 0;
    /// When the first probe since then was sent; infinite if none was.
    absl::Time probedSince = absl::InfiniteFuture();
    absl::Time nextProbeAt = absl::InfinitePast();
    bool cutOff = false;

    friend auto operator==(const DataCentreReach &, const DataCentreReach &) -> bool = default;
};

/// The reachability of each data centre to whose leafs this host sends requests, by name.
using Reach = std::map<std::string, DataCentreReach, std::less<>>;

/// The next step for one data centre.
struct ReachStep
{
    DataCentreReach next{};
    /// Whether the hosts there are to be probed.
    bool probe = false;

    friend auto operator==(const ReachStep &, const ReachStep &) -> bool = default;
};

/// Returns the state after a request was sent to a leaf there.
[[nodiscard]] auto afterAsking(DataCentreReach reach, std::uintptr_t leaf, absl::Time now) -> DataCentreReach;

/// Returns the state after another host reported the data centre as cut off: probes then show whether it is cut off from this host too.
[[nodiscard]] auto afterWarning(DataCentreReach reach, const ReachTerms &terms, absl::Time now) -> DataCentreReach;

/// Returns the next step: a data centre whose leafs are unresponsive is probed, and is cut off if none of its hosts replies either. Guards against a network
/// partition between data centres while callers still reach both sides: leafs beyond it aren't tried one by one. When anything is received from the data
/// centre, its state is reset to DataCentreReachability().
[[nodiscard]] auto advanceReach(DataCentreReach reach, const ReachTerms &terms, absl::Time now) -> ReachStep;

/// Returns whether a data centre has been unresponsive for long enough to be probed, or is cut off.
[[nodiscard]] auto isSilent(const DataCentreReach &reach, const ReachTerms &terms, absl::Time now) -> bool;

/// Returns whether any data centre is cut off.
[[nodiscard]] auto isAnyCutOff(const Reach &reach) -> bool;

/// Input to the decision whether this host reports itself unready.
struct StepDownView
{
    /// Hosts that aren't cut off, this one included; below, all known hosts.
    std::size_t hostsInReach = 1;
    std::size_t allHosts = 1;
    /// The share of recent requests that can be served with the reachable leafs, from 0 to 1.
    double servable = 1.0;

    friend auto operator==(const StepDownView &, const StepDownView &) -> bool = default;
};

/// Returns whether a host should report that it isn't ready, so that the balancer sends callers to a data centre that can serve them: it reaches fewer than
/// half of the hosts, and can't serve enough of the requests. With a partition into two equal halves, both go on serving.
[[nodiscard]] auto stepsDown(const StepDownView &view) -> bool;

} // namespace tamarackspan::gateway
