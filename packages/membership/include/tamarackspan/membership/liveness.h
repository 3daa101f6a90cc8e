#pragma once

#include "absl/time/time.h"

namespace tamarackspan::membership {

/// How another host of the data centre stands.
enum class PeerLiveness {
    /// Heard of lately.
    Alive,
    /// Silent for longer than expected: others are preferred.
    Suspect,
    /// Silent for so long that nothing is sent but probes.
    Dead,
    /// Said itself, or is listed, to be leaving: gets no new work.
    Leaving,
};

/// When silence counts.
struct LivenessConfig
{
    absl::Duration suspectAfter = absl::Seconds(1);
    absl::Duration deadAfter = absl::Seconds(5);

    friend auto operator==(const LivenessConfig &, const LivenessConfig &) -> bool = default;
};

/// What is known about one peer.
struct PeerState
{
    /// When it was last heard of, on this host's clock; the infinite past if never.
    absl::Time lastHeard = absl::InfinitePast();
    /// It said itself that it is draining. Holds until its process is replaced.
    bool saidDraining = false;
    /// The host list says that it is leaving.
    bool listedLeaving = false;

    friend auto operator==(const PeerState &, const PeerState &) -> bool = default;
};

/// Returns how the peer stands now. What it said itself counts over the list and at once, and silence counts over both.
[[nodiscard]] auto livenessOf(const PeerState &peer, const LivenessConfig &config, absl::Time now) -> PeerLiveness;

} // namespace tamarackspan::membership
