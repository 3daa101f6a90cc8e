#pragma once

#include <compare>
#include <cstdint>

namespace tamarackspan::census {

/// A point in the history of the document store. A store that comes back from an older copy begins a new era and gives out revisions again, so that only the
/// era and the revision together order what was written.
struct StoreRevision
{
    /// 0 if the store states none.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const StoreRevision &, const StoreRevision &) -> std::strong_ordering = default;
};

} // namespace tamarackspan::census
