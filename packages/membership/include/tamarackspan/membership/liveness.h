#pragma once

#include "absl/time/time.h"

namespace tamarackspan::membership {

/// The state of another host of the data centre, as seen by the failure detector.
enum class PeerLiveness {
    /// Heard recently.
    Alive,
    /// Not heard for suspectAfter: other hosts are preferred.
    Suspect,
    /// Not heard for deadAfter: only probes are sent to it.
    Dead,
    /// Draining by its own report, or listed as leaving: gets no new work.
    Leaving,
};

/// Timeouts of the failure detector.
struct LivenessConfig
{
    absl::Duration suspectAfter = absl::Seconds(1);
    absl::Duration deadAfter = absl::Seconds(5);

    friend auto operator==(const LivenessConfig &, const LivenessConfig &) -> bool = default;
};

/// What is known about one peer.
struct PeerState
{
    /// When the peer was last heard, on this host's clock; the infinite past if never.
    absl::Time lastHeard = absl::InfinitePast();
    /// The peer reported that it is draining. Stays true until its process is replaced.
    bool reportedDraining = false;
    /// The host list marks the peer as leaving.
    bool listedLeaving = false;

    friend auto operator==(const PeerState &, const PeerState &) -> bool = default;
};

/// Returns the state of the peer. A peer not heard for deadAfter is Dead whatever it reported or the list says; a peer that is draining or listed as leaving is
/// Leaving even if it is Suspect.
[[nodiscard]] auto livenessOf(const PeerState &peer, const LivenessConfig &config, absl::Time now) -> PeerLiveness;

} // namespace tamarackspan::membership
