#pragma once

#include "tamarackspan/census/host_census.h"
#include "tamarackspan/gateway/leaf_entry.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace tamarackspan::gateway {

/// Timing after the document store has come back from an older copy of itself.
struct EraSettings
{
    /// For this long after a new era was first seen no state is rolled back. Leafs rewrite their entries about every 1.2 s, and an entry expires after three
    /// such intervals.
    absl::Duration restoreGrace = absl::Seconds(5);
    /// An era that another host states and that the store hasn't confirmed for this long is forgotten.
    absl::Duration heardValidity = absl::Seconds(10);
    /// A store that has answered with lower eras only for this long counts as replaced.
    absl::Duration replacedAfter = absl::Seconds(10);
    /// After an unconfirmed era was forgotten, or the store was replaced, eras stated by other hosts don't count for this long: statements that are still
    /// passed on, or forged again, would make the host ignore the store most of the time. The host's own reads still find a later era.
    absl::Duration distrust = absl::Seconds(60);

    friend auto operator==(const EraSettings &, const EraSettings &) -> bool = default;
};

/// What a host knows of the store's era.
struct StoreEra
{
    /// The era of the answers that count; nothing before the first answer.
    std::optional<std::uint64_t> known{};
    /// When the known era was first seen in place of another one; the infinite past for the first era that this host knows.
    absl::Time changedAt = absl::InfinitePast();
    /// A later era that another host stated and the store hasn't confirmed; nothing if there is none.
    std::optional<std::uint64_t> heard{};
    absl::Time heardAt = absl::InfinitePast();
    /// Until then eras stated by other hosts don't count.
    absl::Time distrustUntil = absl::InfinitePast();
    /// Since when all answers have been of lower eras; the infinite future if the last one wasn't.
    absl::Time lowerSince = absl::InfiniteFuture();

    friend auto operator==(const StoreEra &, const StoreEra &) -> bool = default;
};

/// What becomes of an answer of the store.
enum class EraVerdict {
    /// It is of the known era.
    Accept,
    /// Another host has stated a later era: the answer counts as none.
    Unconfirmed,
    /// It is of an era lower than the known one: it is discarded, and the call is made again.
    Lower,
    /// It is the first of a later era, which is the known one now: everything is read again.
    Later,
    /// Answers have been of lower eras for so long that the store counts as replaced. The answer's era is the known one now: everything is read again.
    Replaced,
};

/// Decides on an answer by the era that it states, and updates what is known. An answer that states none counts as being of the known era.
[[nodiscard]] auto judgeAnswer(StoreEra &state, std::optional<std::uint64_t> stated, absl::Time now, const EraSettings &settings) -> EraVerdict;

/// Records an era that another host states. Returns whether answers of the known era don't count because of it, and did before.
[[nodiscard]] auto noteHeardEra(StoreEra &state, std::uint64_t stated, absl::Time now) -> bool;

/// Forgets an era that another host stated and that the store hasn't confirmed in time. Returns whether there was one.
[[nodiscard]] auto forgetUnconfirmed(StoreEra &state, absl::Time now, const EraSettings &settings) -> bool;

/// Returns whether an entry that was read in a new era counts for a leaf that is known from an earlier one, or was seen removed in one. It may stem from the
/// copy and so be older than what is known. `seen` is the entry of the leaf that was read before in the same era; null if there is none. Entries of one start
/// count if the leaf has written them since, of another start if it is later by the leaf's clock, and any entry that the leaf has written between two reads of
/// the era.
[[nodiscard]] auto entryCounts(const LeafEntry &known, bool removed, const LeafEntry *seen, const LeafEntry &entry) -> bool;

} // namespace tamarackspan::gateway
