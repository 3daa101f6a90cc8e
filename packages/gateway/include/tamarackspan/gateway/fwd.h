#pragma once

namespace tamarackspan::gateway {

struct Operation;
struct ServiceShare;
struct ServiceOptions;
struct CallerLimits;
struct Catalogue;
struct LeafEntry;
struct LeafCondition;
struct LatencyEstimate;
struct NeighbourCondition;
struct ForwardedQuery;
struct StopView;
struct DataCentreReachability;
struct CallerRequest;
struct CallerProtocol;
struct LeafProtocol;
struct DocumentCalls;
struct CurrentReadSettings;
struct CurrentReadView;
struct FollowerPeers;
struct EvacuationState;
struct EvacuationRecord;
struct EvacuationReading;
struct EvacuationStep;
struct GatewaySettings;
class ExtraRequestBudget;
class LeafDirectory;
class ReportDeduplicator;
class RevisionHistory;
class PauseDetector;
class DocumentFollower;
class Gateway;

} // namespace tamarackspan::gateway
