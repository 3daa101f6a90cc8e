#pragma once

namespace tamarackspan::query {

struct ExtraLoadBudget;
struct LeafReply;
struct OverloadGate;
struct Pin;
struct QueryContext;
struct QueryPolicy;
struct QueryRequest;
struct QueryState;
struct ServiceView;

} // namespace tamarackspan::query
