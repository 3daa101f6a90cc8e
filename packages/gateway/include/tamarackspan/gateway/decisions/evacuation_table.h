#pragma once

#include "tamarackspan/census/host_census.h"
#include "tamarackspan/census/store_revision.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

/// Whether a data centre is evacuated, and since which point in the store's history.
struct EvacuationState
{
    bool evacuated = false;
    census::StoreRevision since{};

    friend auto operator==(const EvacuationState &, const EvacuationState &) -> bool = default;
};

/// What another host states about a data centre.
struct StatedEvacuation
{
    EvacuationState state{};
    /// The name of the host that stated it first.
    std::string host{};
    /// When this host first received it.
    absl::Time receivedAt = absl::InfinitePast();

    friend auto operator==(const StatedEvacuation &, const StatedEvacuation &) -> bool = default;
};

/// What a host knows about one data centre.
struct EvacuationRecord
{
    /// From the host's own reads of the store; the default before anything was read.
    EvacuationState own{};
    /// The latest statement of another host. It is in effect if it is later than the own reads.
    StatedEvacuation stated{};
    /// The last statement that the own reads, complete up to a later time, didn't confirm: its copies have no effect.
    EvacuationState refuted{};
    /// Since when the leafs become usable again one by one; the infinite past if the data centre wasn't evacuated before.
    absl::Time returningSince = absl::InfinitePast();

    friend auto operator==(const EvacuationRecord &, const EvacuationRecord &) -> bool = default;
};

/// The evacuations of data centres that a host knows, by name of the data centre.
using EvacuationTable = std::map<std::string, EvacuationRecord, std::less<>>;

/// What one read of the store says about evacuations.
struct EvacuationReading
{
    /// The items that were read or removed.
    std::vector<census::EvacuationStatement> items{};
    /// The point of the store's history that the read shows if it returned all items that exist; nothing if it returned changes.
    std::optional<census::StoreRevision> listedAt{};
    /// Whether the listing may show an older copy from which the store was restored: it adds what isn't known and changes nothing else.
    bool fromCopy = false;
    /// Whether the store was replaced: its positions can't be compared with the known ones, and any later reading counts.
    bool storeReplaced = false;

    friend auto operator==(const EvacuationReading &, const EvacuationReading &) -> bool = default;
};

/// How a withdrawn evacuation takes effect.
struct EvacuationOptions
{
    /// Over this time the leafs of a data centre become usable again, so that the load doesn't arrive all at once.
    absl::Duration returnSpread = absl::Seconds(2);

    friend auto operator==(const EvacuationOptions &, const EvacuationOptions &) -> bool = default;
};

/// One data centre whose state in effect has changed.
struct EvacuationChange
{
    std::string dataCentre{};
    EvacuationState state{};
    /// The name of the host that stated it; empty if it was read from the store.
    std::string host{};

    friend auto operator==(const EvacuationChange &, const EvacuationChange &) -> bool = default;
};

/// A table after some input, and what has changed in effect.
struct EvacuationStep
{
    EvacuationTable next{};
    std::vector<EvacuationChange> changes{};

    friend auto operator==(const EvacuationStep &, const EvacuationStep &) -> bool = default;
};

/// Returns the state in effect: the statement of another host if there is a later one than the own reads, else what was read.
[[nodiscard]] auto effectiveState(const EvacuationRecord &record) -> const EvacuationState &;

/// Returns the table after a read of the store. An older position than the known one changes nothing. After a listing, an evacuation that it lacks and that
/// isn't newer than it counts as withdrawn.
[[nodiscard]] auto afterReading(EvacuationTable table, const EvacuationReading &reading, absl::Time now) -> EvacuationStep;

/// Returns the table after the statements of another host. Later positions than the known ones take effect until the own reads are known to be complete up to
/// a later time. At most maxEvacuationRecords data centres are kept, of which those that were read from the store are never dropped.
[[nodiscard]] auto afterStatements(EvacuationTable table, std::string_view host, std::span<const census::EvacuationStatement> statements, absl::Time now)
    -> EvacuationStep;

/// Returns the table given up to when all changes of the store are known from the own reads: statements that were received earlier and that the reads don't
/// contain lose their effect, so that a forged one lasts a few seconds at most.
[[nodiscard]] auto afterOwnReads(EvacuationTable table, absl::Time knownUntil, absl::Time now) -> EvacuationStep;

/// The maximum number of data centres that statements of other hosts may add up to.
inline constexpr auto maxEvacuationRecords = std::size_t{64};

/// Returns from when on a host may use a leaf of a data centre: the infinite future while it is evacuated; afterwards a time that differs by host and leaf.
[[nodiscard]] auto usableFrom(const EvacuationTable &table, std::string_view dataCentre, std::string_view host, std::string_view leaf,
                              const EvacuationOptions &options) -> absl::Time;

/// Returns whether distance counts in the choice of leafs. It doesn't while a data centre is evacuated, since the remaining leafs have less capacity, and while
/// its leafs return, since the first of them would get all requests of the near hosts.
[[nodiscard]] auto distanceCounts(const EvacuationTable &table, const EvacuationOptions &options, absl::Time now) -> bool;

/// Returns how many data centres are evacuated.
[[nodiscard]] auto evacuatedCount(const EvacuationTable &table) -> std::size_t;

/// Returns what a host states to others: at most `limit` states in effect, evacuations before withdrawals and later before earlier ones.
[[nodiscard]] auto statementsOf(const EvacuationTable &table, std::size_t limit) -> std::vector<census::EvacuationStatement>;

} // namespace tamarackspan::gateway
