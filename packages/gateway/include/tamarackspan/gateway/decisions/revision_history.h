#pragma once

#include "tamarackspan/census/host_census.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackspan::gateway {

/// The statements that a host has about the document store's revision, from its own current reads and from other hosts. They bound the age of what the host
/// knows: cheap reads may be stale and don't state by how much.
class RevisionHistory
{
public:
    /// Adds a statement. Of several copies of one the earliest time is kept: a copy that arrives late makes its read look newer than it was. Returns whether
    /// the statement is later than the latest one by at least `step`, so that other hosts should hear of it.
    auto record(const census::RevisionStatement &statement, absl::Duration step) -> bool;

    /// Returns the latest time up to which a host that has applied all changes up to a point of its history knows all changes; the infinite past if no
    /// statement tells.
    [[nodiscard]] auto knownUntil(const census::StoreRevision &position) const -> absl::Time;

    /// Returns the statement with the latest time.
    [[nodiscard]] auto latest() const -> std::optional<census::RevisionStatement>;

private:
    /// In the order of their times; only the last few.
    std::vector<census::RevisionStatement> statements;
};

/// When a host reads the store's current state.
struct CurrentReadSettings
{
    /// Time between two current reads of the first host.
    absl::Duration interval = absl::Milliseconds(1000);
    /// The next hosts in the order read in place of those before them, each this much later than the one before.
    absl::Duration standInDelay = absl::Milliseconds(300);
    std::size_t standIns = 2;
    /// Any host reads for itself once what it knows is older than this.
    absl::Duration maxAge = absl::Milliseconds(2100);

    friend auto operator==(const CurrentReadSettings &, const CurrentReadSettings &) -> bool = default;
};

/// What the time of a host's next current read depends on.
struct CurrentReadView
{
    /// Up to when this host knows all changes.
    absl::Time knownUntil = absl::InfinitePast();
    /// The time of the latest statement.
    absl::Time statedAt = absl::InfinitePast();
    /// The host's place among all hosts, from 0; nothing if it isn't known or the host is about to stop.
    std::optional<std::size_t> rank{};

    friend auto operator==(const CurrentReadView &, const CurrentReadView &) -> bool = default;
};

/// Returns when a host has to read the current state if nothing changes before: when what it knows gets too old, or when it is its turn to read for all hosts.
[[nodiscard]] auto currentReadDueAt(const CurrentReadView &view, const CurrentReadSettings &settings) -> absl::Time;

} // namespace tamarackspan::gateway
