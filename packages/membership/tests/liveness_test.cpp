#include "tamarackspan/membership/liveness.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::membership;

const auto now = absl::UnixEpoch() + absl::Hours(1);
const auto config = LivenessConfig{absl::Seconds(1), absl::Seconds(5)};

TEST(Liveness, AnUnheardPeerIsSuspectedThenDead)
{
    EXPECT_EQ(livenessOf({now - absl::Milliseconds(999), false, false}, config, now), PeerLiveness::Alive);
    EXPECT_EQ(livenessOf({now - absl::Seconds(1), false, false}, config, now), PeerLiveness::Suspect);
    EXPECT_EQ(livenessOf({now - absl::Seconds(5), false, false}, config, now), PeerLiveness::Dead);
    EXPECT_EQ(livenessOf({}, config, now), PeerLiveness::Dead);
}

TEST(Liveness, ADrainingReportOrTheListMakesAPeerLeavingUnlessItIsDead)
{
    EXPECT_EQ(livenessOf({now, true, false}, config, now), PeerLiveness::Leaving);
    EXPECT_EQ(livenessOf({now, false, true}, config, now), PeerLiveness::Leaving);
    EXPECT_EQ(livenessOf({now - absl::Seconds(5), true, true}, config, now), PeerLiveness::Dead);
}

} // namespace
