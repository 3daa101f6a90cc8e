#include "tamarackspan/membership/liveness.h"

namespace tamarackspan::membership {

auto livenessOf(const PeerState &peer, const LivenessConfig &config, absl::Time now) -> PeerLiveness
{
    const auto silence = now - peer.lastHeard;
    if (silence >= config.deadAfter) {
        return PeerLiveness::Dead;
    }
    if (peer.reportedDraining || peer.listedLeaving) {
        return PeerLiveness::Leaving;
    }
    return silence >= config.suspectAfter ? PeerLiveness::Suspect : PeerLiveness::Alive;
}

} // namespace tamarackspan::membership
