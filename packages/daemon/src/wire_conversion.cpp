#include "tamarackspan/daemon/wire_conversion.h"

#include <utility>

namespace tamarackspan::daemon {

namespace {

constexpr auto knownOutcomes = static_cast<std::uint8_t>(wire::Outcome::Cancelled) + 1;
static_assert(static_cast<int>(wire::Outcome::Cancelled) == static_cast<int>(query::LeafOutcome::Cancelled), "both enumerations have the same order");

} // namespace

auto toWire(std::uint64_t query, base::AttemptId attempt, base::ShardId shard, LeafWorkReply reply) -> wire::LeafReplyT
{
    auto result = wire::LeafReplyT();
    result.query = query;
    result.attempt = attempt.get();
    result.shard = shard.get();
    result.outcome = static_cast<wire::Outcome>(reply.outcome);
    if (reply.pin) {
        result.indexVersion = reply.pin->indexVersion.get();
        result.mapGeneration = reply.pin->mapGeneration.get();
    }
    result.costMicros = reply.costMicros;
    for (const auto &version : reply.heldVersions) {
        result.heldVersions.push_back(version.get());
    }
    result.leafDraining = reply.leafDraining;
    result.reachedLeaf = reply.reachedLeaf;
    result.body = toBytes(reply.body);
    return result;
}

auto fromWire(const wire::LeafReplyT &reply) -> LeafWorkReply
{
    auto result = LeafWorkReply();
    const auto known = static_cast<std::uint8_t>(reply.outcome) < knownOutcomes;
    result.outcome = known ? static_cast<query::LeafOutcome>(reply.outcome) : query::LeafOutcome::Failed;
    if (result.outcome == query::LeafOutcome::Complete || result.outcome == query::LeafOutcome::Partial) {
        result.pin = query::Pin{base::IndexVersion(reply.indexVersion), base::Revision(reply.mapGeneration)};
    }
    result.costMicros = reply.costMicros;
    for (const auto version : reply.heldVersions) {
        result.heldVersions.emplace_back(version);
    }
    result.leafDraining = reply.leafDraining;
    result.reachedLeaf = reply.reachedLeaf;
    result.body = toText(reply.body);
    return result;
}

auto toWire(RunState state) noexcept -> wire::RunState
{
    switch (state) {
    case RunState::NotRun:
        return wire::RunState::NotRun;
    case RunState::Ran:
        return wire::RunState::Run;
    case RunState::MayHaveRun:
        break;
    }
    return wire::RunState::MayHaveRun;
}

auto fromWire(wire::RunState state) noexcept -> RunState
{
    switch (state) {
    case wire::RunState::NotRun:
        return RunState::NotRun;
    case wire::RunState::Run:
        return RunState::Ran;
    default:
        return RunState::MayHaveRun;
    }
}

auto toWire(AttemptKind kind) noexcept -> wire::AttemptKind
{
    switch (kind) {
    case AttemptKind::First:
        return wire::AttemptKind::First;
    case AttemptKind::Hedge:
        return wire::AttemptKind::Hedge;
    case AttemptKind::Retry:
        break;
    }
    return wire::AttemptKind::Retry;
}

auto fromWire(wire::AttemptKind kind) noexcept -> AttemptKind
{
    switch (kind) {
    case wire::AttemptKind::First:
        return AttemptKind::First;
    case wire::AttemptKind::Hedge:
        return AttemptKind::Hedge;
    default:
        return AttemptKind::Retry;
    }
}

auto refusalFromWire(std::uint8_t number) noexcept -> RefusalKind
{
    return number <= static_cast<std::uint8_t>(RefusalKind::Stopping) ? static_cast<RefusalKind>(number) : RefusalKind::OutcomeUnknown;
}

auto toBytes(const std::string &text) -> std::vector<std::uint8_t>
{
    return {text.begin(), text.end()};
}

auto toText(const std::vector<std::uint8_t> &bytes) -> std::string
{
    return {bytes.begin(), bytes.end()};
}

} // namespace tamarackspan::daemon
