#pragma once

#include "tamarackspan/daemon/leaf_work.h"
#include "tamarackspan/wire/inner_generated.h"

namespace tamarackspan::daemon {

/// Converts a reply to its form on the inner protocol.
[[nodiscard]] auto toWire(std::uint64_t query, base::AttemptId attempt, base::ShardId shard, LeafWorkReply reply) -> wire::LeafReplyT;

/// Reads a reply of the inner protocol. Outcomes that this build doesn't know count as failed.
[[nodiscard]] auto fromWire(const wire::LeafReplyT &reply) -> LeafWorkReply;

/// Convert a run state to and from the inner protocol. An unknown one counts as MayHaveRun.
[[nodiscard]] auto toWire(RunState state) noexcept -> wire::RunState;
[[nodiscard]] auto fromWire(wire::RunState state) noexcept -> RunState;

/// Convert the kind of an attempt to and from the inner protocol. An unknown one counts as a retry.
[[nodiscard]] auto toWire(AttemptKind kind) noexcept -> wire::AttemptKind;
[[nodiscard]] auto fromWire(wire::AttemptKind kind) noexcept -> AttemptKind;

/// Reads the kind of a refusal as numbered on the inner protocol; an unknown number counts as OutcomeUnknown.
[[nodiscard]] auto refusalFromWire(std::uint8_t number) noexcept -> RefusalKind;

/// Convert text to and from bytes.
[[nodiscard]] auto toBytes(const std::string &text) -> std::vector<std::uint8_t>;
[[nodiscard]] auto toText(const std::vector<std::uint8_t> &bytes) -> std::string;

} // namespace tamarackspan::daemon
