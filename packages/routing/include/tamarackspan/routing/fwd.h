#pragma once

namespace tamarackspan::routing {

struct OwnerShare;
struct HostView;
class LatencyHistogram;
struct LeafTable;
struct LeafState;
struct RoutingPolicy;
struct LeafQueue;
struct QueueRequest;

} // namespace tamarackspan::routing
