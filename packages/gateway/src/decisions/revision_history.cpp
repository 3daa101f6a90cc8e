#include "tamarackspan/gateway/decisions/revision_history.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// With one statement a second these reach further back than cheap reads are stale.
constexpr auto maxStatements = std::size_t{16};

} // namespace

auto RevisionHistory::record(const census::RevisionStatement &statement, absl::Duration step) -> bool
{
    const auto known = std::ranges::find_if(this->statements, [&statement](const auto &other) {
        return other.reader == statement.reader && other.read == statement.read;
    });
    if (known != this->statements.end()) {
        if (statement.currentAt < known->currentAt) {
            *known = statement;
            std::ranges::stable_sort(this->statements, {}, &census::RevisionStatement::currentAt);
        }
        return false;
    }
    const auto isLater = this->statements.empty() || statement.currentAt >= this->statements.back().currentAt + step;
    const auto place = std::ranges::upper_bound(this->statements, statement.currentAt, {}, &census::RevisionStatement::currentAt);
    this->statements.insert(place, statement);
    if (this->statements.size() > maxStatements) {
        this->statements.erase(this->statements.begin());
    }
    return isLater;
}

auto RevisionHistory::knownUntil(const census::StoreRevision &position) const -> absl::Time
{
    auto until = absl::InfinitePast();
    for (const auto &statement : this->statements) {
        if (statement.position <= position) {
            until = std::max(until, statement.currentAt);
        }
    }
    return until;
}

auto RevisionHistory::latest() const -> std::optional<census::RevisionStatement>
{
    return this->statements.empty() ? std::nullopt : std::optional(this->statements.back());
}

auto currentReadDueAt(const CurrentReadView &view, const CurrentReadSettings &settings) -> absl::Time
{
    const auto forItself = view.knownUntil + settings.maxAge;
    if (!view.rank.has_value() || *view.rank > settings.standIns) {
        return forItself;
    }
    return std::min(forItself, view.statedAt + settings.interval + settings.standInDelay * static_cast<double>(*view.rank));
}

} // namespace tamarackspan::gateway
