#include "tamarackspan/costs/cost_archive.h"

#include "tamarackspan/base/random.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace tamarackspan::costs {

namespace {

/// Merges one row; returns whether it changed the stored report.
auto mergeRow(CostArchive &archive, StoredReport &held, const CostKey &key, const CostCounters &counters) -> bool
{
    const auto place = held.table.find(key);
    if (place != held.table.end()) {
        const auto merged = archive.mergesByMaximum ? maximumOf(place->second, counters) : sumOf(place->second, counters);
        return std::exchange(place->second, merged) != merged;
    }
    if (held.table.size() >= archive.limits.rowsPerReport) {
        ++archive.droppedRows;
        return false;
    }
    held.table.emplace(key, counters);
    ++archive.rows;
    return true;
}

auto removeReport(CostArchive &archive, std::map<base::Incarnation, StoredReport>::iterator place) -> std::map<base::Incarnation, StoredReport>::iterator
{
    archive.rows -= place->second.table.size();
    return archive.reports.erase(place);
}

auto evictOldestBeyondLimit(CostArchive &archive) -> void
{
    while (archive.rows > archive.limits.rows) {
        const auto oldest = std::min_element(archive.reports.begin(), archive.reports.end(), [](const auto &left, const auto &right) {
            return left.second.madeAt < right.second.madeAt;
        });
        removeReport(archive, oldest);
        ++archive.forgotten;
    }
}

} // namespace

auto mergeReport(CostArchive &archive, const CostReport &report, absl::Time now) -> void
{
    const auto age = std::max(report.age, absl::ZeroDuration());
    if (age >= archive.limits.retention || report.table.empty()) {
        return;
    }
    auto &held = archive.reports.try_emplace(report.incarnation, StoredReport{now - age, {}}).first->second;
    auto changed = false;
    for (const auto &[key, counters] : report.table) {
        changed = mergeRow(archive, held, key, counters) || changed;
    }
    if (changed) {
        held.madeAt = std::max(held.madeAt, now - age);
    }
    evictOldestBeyondLimit(archive);
}

auto expireReports(CostArchive &archive, absl::Time now) -> void
{
    for (auto place = archive.reports.begin(); place != archive.reports.end();) {
        const auto ended = now - place->second.madeAt >= archive.limits.retention;
        place = ended ? removeReport(archive, place) : std::next(place);
    }
}

auto storedReports(const CostArchive &archive, absl::Time now) -> std::vector<CostReport>
{
    auto reports = std::vector<CostReport>{};
    for (const auto &[incarnation, held] : archive.reports) {
        reports.push_back({incarnation, now - held.madeAt, held.table});
    }
    return reports;
}

auto chooseHolders(base::Incarnation incarnation, const std::vector<base::HostId> &hosts) -> std::vector<base::HostId>
{
    auto scored = std::vector<std::pair<std::uint64_t, base::HostId>>{};
    for (const auto &host : hosts) {
        scored.emplace_back(base::mixBits(incarnation.get() ^ base::stableHash(host.get().data(), host.get().size())), host);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    auto holders = std::vector<base::HostId>{};
    for (auto i = std::size_t{0}; i < std::min(holdersPerIncarnation, scored.size()); ++i) {
        holders.push_back(scored[i].second);
    }
    return holders;
}

auto reportsForHolder(const CostArchive &archive, const base::HostId &host, const std::vector<base::HostId> &hosts, absl::Time now) -> std::vector<CostReport>
{
    auto reports = storedReports(archive, now);
    std::erase_if(reports, [&host, &hosts](const CostReport &report) {
        const auto holders = chooseHolders(report.incarnation, hosts);
        return std::find(holders.begin(), holders.end(), host) == holders.end();
    });
    return reports;
}

} // namespace tamarackspan::costs
