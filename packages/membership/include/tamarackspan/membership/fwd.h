#pragma once

namespace tamarackspan::membership {

struct ListReading;
struct PartInForce;
struct RosterConfig;
struct RosterState;
struct WitnessReport;
struct PeerState;

} // namespace tamarackspan::membership
