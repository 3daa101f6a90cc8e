#pragma once

namespace tamarackspan::membership {

struct ListReading;
struct QuotaShare;
struct RosterConfig;
struct RosterState;
struct WitnessReport;
struct PeerState;

} // namespace tamarackspan::membership
