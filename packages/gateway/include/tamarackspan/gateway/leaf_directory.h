#pragma once

#include "tamarackspan/gateway/decisions/extra_request_budget.h"
#include "tamarackspan/gateway/decisions/replica_choice.h"
#include "tamarackspan/gateway/decisions/warm_up_decision.h"
#include "tamarackspan/gateway/leaf_entry.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

/// A leaf as this host knows it. Requests in flight keep the object alive after its entry is gone.
struct KnownLeaf
{
    LeafEntry entry{};
    LeafCondition condition{};
    /// Name of the leaf's connection pool; differs between starts.
    std::string pool{};
    absl::Time warmingUpUntil = absl::InfinitePast();
    /// Its entry was removed, or another leaf answered at its address.
    bool gone = false;
    /// When the leaf is removed unless an entry names it again; infinite while it has an entry.
    absl::Time removeAt = absl::InfiniteFuture();
    /// The store's era in which its entry was last found missing.
    std::uint64_t missingEra = 0;
    /// The leaf itself stated that it is about to stop; holds for this start of it, whatever its entry says.
    bool saidLeaving = false;
    /// Until then the leaf wants no requests from this host.
    absl::Time backoffUntil = absl::InfinitePast();
    /// Since a connection to it failed at the first of these times, the leaf is assumed to be cold until the second, or until its entry says otherwise.
    absl::Time coldAssumedAt = absl::InfinitePast();
    absl::Time coldAssumedUntil = absl::InfinitePast();
    /// When this host last used its permission to send the leaf a request while it is cold.
    absl::Time warmUpUsedAt = absl::InfinitePast();
};

/// An entry that arrives sooner than this after a failed connection may have been written before it: entries are read about every second.
inline constexpr auto maxEntryDelay = absl::Seconds(2);

/// Returns whether a leaf is cold, by its entry or by assumption.
[[nodiscard]] auto isCold(const KnownLeaf &leaf, absl::Time now) noexcept -> bool;

/// Returns whether new requests may be sent to a leaf, as far as the leaf itself has said.
[[nodiscard]] auto acceptsRequests(const KnownLeaf &leaf, absl::Time now) noexcept -> bool;

/// The leafs of one service and its budget for extra requests.
struct KnownService
{
    std::string name{};
    std::vector<std::shared_ptr<KnownLeaf>> leafs{};
    ExtraRequestBudget extraRequests{};
    /// Where the next choice among equal leafs begins.
    std::size_t roundRobinStart = 0;
    /// By the newest catalogue.
    WarmUpLimit warmUp{};
};

/// A change that the directory reports to its listener.
struct DirectoryEvent
{
    enum class Kind {
        LeafAdded,
        LeafChanged,
        LeafDraining,
        /// Only if the leaf's service limits the requests to cold leafs.
        LeafCold,
        LeafMissing,
        LeafGone,
    };
    Kind kind = Kind::LeafAdded;
    std::shared_ptr<KnownLeaf> leaf;
};

/// All leafs that published entries name, by service. Reads no clock and does no I/O.
class LeafDirectory
{
public:
    using Listener = std::function<void(const DirectoryEvent &)>;

    /// The listener is called for each change, from within the calls below.
    explicit LeafDirectory(Listener listener);

    /// Must be called when the store's era changes; `era` is that of the entries from now on. If it isn't a later one, what is known counts as being of the era
    /// before it, or as written before all entries if there is none.
    auto beginEra(std::uint64_t era) -> void;

    /// Adds or updates the leaf that an entry names; an entry that was written before the known one is ignored. An entry of a new era is kept aside until it
    /// counts, see entryCounts().
    auto put(const LeafEntry &entry, absl::Time now) -> void;

    /// Removes a leaf: at once if `removalTime` has come, else at `removalTime` unless an entry arrives before that.
    auto remove(const std::string &id, absl::Time now, absl::Time removalTime) -> void;

    /// Removes all leafs that aren't among the ids, as remove() does.
    auto keepOnly(const std::vector<std::string> &ids, absl::Time now, absl::Time removalTime) -> void;

    /// Removes the leafs whose removal time has come.
    auto expire(absl::Time now) -> void;

    /// Marks a leaf whose address turned out to belong to another leaf: it isn't used until an entry with another start, service or address arrives.
    auto markReplaced(const std::shared_ptr<KnownLeaf> &leaf) -> void;

    /// Records that a leaf stated in a response that it is about to stop. An entry of the same or an earlier start doesn't undo it, also if the leaf was
    /// removed meanwhile. Returns whether that is new.
    auto markLeaving(const std::shared_ptr<KnownLeaf> &leaf, absl::Time now) -> bool;

    /// Records that a leaf wants no requests from this host until then. This start of it is left alone so long, also if it is removed and listed again
    /// meanwhile. Returns whether that extends the time that was known.
    auto backOff(const std::shared_ptr<KnownLeaf> &leaf, absl::Time until, absl::Time now) -> bool;

    /// Records that connections to a leaf fail, so that it may have started again: if its service limits the requests to cold leafs, it is assumed to be cold
    /// for as long as leafs of the service are, unless an entry that was written later states otherwise.
    auto assumeCold(const std::shared_ptr<KnownLeaf> &leaf, absl::Time now) -> void;

    /// Returns the service of that name, created empty on first use. The reference stays valid.
    [[nodiscard]] auto service(const std::string &name) -> KnownService &;

    /// Returns the known leafs of a data centre.
    [[nodiscard]] auto inDataCentre(std::string_view dataCentre) const -> std::vector<std::shared_ptr<KnownLeaf>>;

    /// Returns how many leafs are known.
    [[nodiscard]] auto size() const noexcept -> std::size_t;

    /// Returns how many leafs have an entry of the current era that doesn't count yet.
    [[nodiscard]] auto unconfirmed() const noexcept -> std::size_t;

private:
    /// What one start of a leaf stated about itself in its responses.
    struct StatedStart
    {
        LeafEntry entry{};
        absl::Time notedAt = absl::InfinitePast();
        bool leaving = false;
        absl::Time backoffUntil = absl::InfinitePast();
    };

    /// What is kept of a leaf whose entry was removed.
    struct RemovedLeaf
    {
        LeafEntry entry{};
        /// The store's era in which the entry was found missing.
        std::uint64_t era = 0;
        absl::Time at = absl::InfinitePast();
    };

    auto detach(const std::shared_ptr<KnownLeaf> &leaf) -> void;
    /// Returns whether an entry counts, given the leaf that is known under its id, if any; keeps it aside otherwise.
    auto isConfirmed(const LeafEntry &entry, const KnownLeaf *leaf) -> bool;
    /// Keeps what is known of a leaf that is removed now.
    auto recordRemoval(const KnownLeaf &leaf, absl::Time now) -> void;
    auto reportCold(const std::shared_ptr<KnownLeaf> &leaf) -> void;
    /// Keeps what this start of the leaf stated, in place of what an earlier one did.
    auto recordStatements(const KnownLeaf &leaf, absl::Time now) -> void;
    auto applyStatements(KnownLeaf &leaf) const -> void;

    Listener listener;
    absl::flat_hash_map<std::string, std::shared_ptr<KnownLeaf>> byId;
    absl::flat_hash_map<std::string, std::unique_ptr<KnownService>> services;
    /// By the leaf's id; kept after the leaf is removed.
    absl::flat_hash_map<std::string, StatedStart> statedStarts;
    std::uint64_t era = 0;
    /// The last entry read in the current era of each leaf whose entry doesn't count yet.
    absl::flat_hash_map<std::string, LeafEntry> unconfirmedEntries;
    /// By the leaf's id: an older copy of the store may still contain its entry.
    absl::flat_hash_map<std::string, RemovedLeaf> removedLeafs;
};

} // namespace tamarackspan::gateway
