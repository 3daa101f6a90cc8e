#include "tamarackspan/membership/roster.h"

#include "tamarackspan/base/unit_split.h"
#include "tamarackspan/membership/overlay.h"

#include "host_rank.h"

#include <algorithm>

namespace tamarackspan::membership {

namespace {

// If one witness changed between two lists, any quorumToConfirm() witnesses of the old list and any quorumToGrow() witnesses of the new one have a witness in
// common.
auto quorumToConfirm(std::size_t count) -> std::size_t
{
    return count / 2 + 1;
}

auto quorumToGrow(std::size_t count) -> std::size_t
{
    return std::min(count, (count + 1) / 2 + 1);
}

auto isSettled(const SeenList &seen, const RosterConfig &config, absl::Duration hold) -> bool
{
    if (!config.waitToGrow) {
        return true;
    }
    const auto windowPassed = seen.confirmedAt - seen.firstSeen >= growthWindow(config, hold);
    return windowPassed && (!config.askWitnesses || seen.heldByQuorumAt <= seen.confirmedAt - 2 * config.lease - hold);
}

// Returns the index of the newest settled list, or the size of the history if there is none.
auto newestSettled(const RosterState &state, absl::Duration hold) -> std::size_t
{
    for (auto i = state.history.size(); i > 0; --i) {
        if (isSettled(state.history[i - 1], state.config, hold)) {
            return i - 1;
        }
    }
    return state.history.size();
}

auto trimHistory(RosterState &state, absl::Duration longestHold) -> void
{
    const auto settled = newestSettled(state, longestHold);
    if (settled < state.history.size()) {
        state.history.erase(state.history.begin(), state.history.begin() + static_cast<std::ptrdiff_t>(settled));
    }
}

auto makeSeenList(const ListReading &reading, absl::Time now) -> SeenList
{
    auto seen = SeenList{reading.revision, reading.list, {}, witnesses(reading.list), now, reading.confirmedAt, absl::InfiniteFuture()};
    seen.hostHashes.reserve(reading.list.hosts.size());
    for (const auto &host : reading.list.hosts) {
        seen.hostHashes.push_back(impl::hostHash(host.id));
    }
    return seen;
}

auto confirm(RosterState &state, absl::Time at) -> void
{
    auto &newest = state.history.back();
    newest.confirmedAt = std::max(newest.confirmedAt, at);
}

// Returns whether a confirmation at this time comes too late to continue the history.
auto isAfterGap(const RosterState &state, absl::Time at) -> bool
{
    return state.config.checkLease && !state.history.empty() && at - state.history.back().confirmedAt > state.config.lease;
}

// Restarts the history with the newest list alone.
auto restartHistory(RosterState &state, absl::Time at, absl::Time now) -> void
{
    state.history.erase(state.history.begin(), state.history.end() - 1);
    auto &newest = state.history.back();
    newest.firstSeen = now;
    newest.confirmedAt = at;
    newest.heldByQuorumAt = absl::InfiniteFuture();
}

auto confirmOrRestart(RosterState &state, absl::Time at, absl::Time now) -> void
{
    if (now - at > state.config.lease) {
        return;
    }
    if (isAfterGap(state, at)) {
        restartHistory(state, at, now);
    } else {
        confirm(state, at);
    }
}

struct WitnessCount
{
    std::size_t holders = 0;
    // When each witness certainly knew no newer list, latest first.
    std::vector<absl::Time> confirmedAt;
};

auto countWitnesses(const RosterState &state, const std::vector<base::HostId> &hosts, base::Revision revision, absl::Time now) -> WitnessCount
{
    auto count = WitnessCount();
    for (const auto &host : hosts) {
        if (host == state.self) {
            ++count.holders;
            count.confirmedAt.push_back(now);
            continue;
        }
        const auto report = state.witnessReports.find(host);
        if (report == state.witnessReports.end()) {
            continue;
        }
        count.holders += report->second.revision >= revision ? 1 : 0;
        if (report->second.revision <= revision) {
            count.confirmedAt.push_back(report->second.at);
        }
    }
    std::sort(count.confirmedAt.begin(), count.confirmedAt.end(), std::greater<>());
    return count;
}

// Updates the confirmation and quorum times of the newest list from the witness reports.
auto applyWitnesses(RosterState &state, absl::Time now) -> void
{
    if (state.history.empty()) {
        return;
    }
    const auto &hosts = state.history.back().witnesses;
    const auto count = countWitnesses(state, hosts, state.history.back().revision, now);
    if (!hosts.empty() && count.confirmedAt.size() >= quorumToConfirm(hosts.size())) {
        confirmOrRestart(state, count.confirmedAt[quorumToConfirm(hosts.size()) - 1], now);
    }
    auto &newest = state.history.back();
    if (count.holders >= quorumToGrow(hosts.size())) {
        newest.heldByQuorumAt = std::min(newest.heldByQuorumAt, now);
    }
}

auto shareUnder(const SeenList &seen, const base::HostId &self, std::uint32_t total, std::uint64_t key) -> std::uint32_t
{
    const auto &hosts = seen.list.hosts;
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&self](const auto &host) {
        return host.id == self;
    });
    if (found == hosts.end()) {
        return 0;
    }
    const auto members = static_cast<std::uint32_t>(hosts.size());
    if (total % members == 0) {
        return total / members;
    }
    const auto index = static_cast<std::size_t>(found - hosts.begin());
    const auto own = impl::rankWeight(key, seen.hostHashes[index]);
    auto rank = std::uint32_t{0};
    for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
        const auto weight = impl::rankWeight(key, seen.hostHashes[i]);
        rank += weight > own || (weight == own && i < index) ? 1 : 0;
    }
    return base::unitShare(total, members, rank, 0);
}

} // namespace

auto growthWindow(const RosterConfig &config, absl::Duration hold) -> absl::Duration
{
    return 3 * config.lease + 2 * config.maxListLag + hold;
}

auto recordList(RosterState &state, const ListReading &reading, absl::Time now, absl::Duration longestHold) -> void
{
    if (reading.revision < newestRevision(state)) {
        return;
    }
    const auto late = state.config.checkLease && now - reading.confirmedAt > state.config.lease;
    const auto known = !state.history.empty() && reading.revision == newestRevision(state);
    if (known && late) {
        return;
    }
    if (late || isAfterGap(state, reading.confirmedAt)) {
        state.history.clear();
    }
    if (!state.history.empty() && known) {
        confirm(state, reading.confirmedAt);
    } else {
        state.history.push_back(makeSeenList(reading, now));
    }
    applyWitnesses(state, now);
    trimHistory(state, longestHold);
}

auto recordWitness(RosterState &state, const WitnessReport &report, absl::Time now) -> void
{
    auto &known = state.witnessReports[report.witness];
    if (known.witness == report.witness && report.at <= known.at) {
        return;
    }
    known = report;
    applyWitnesses(state, now);
}

auto newestRevision(const RosterState &state) noexcept -> base::Revision
{
    return state.history.empty() ? base::Revision(0) : state.history.back().revision;
}

auto newestList(const RosterState &state) noexcept -> const contracts::HostList *
{
    return state.history.empty() ? nullptr : &state.history.back().list;
}

auto confirmedAt(const RosterState &state) noexcept -> absl::Time
{
    return state.history.empty() ? absl::InfinitePast() : state.history.back().confirmedAt;
}

auto currentShare(const RosterState &state, std::uint32_t total, std::string_view key, absl::Duration hold, absl::Time now) -> QuotaShare
{
    const auto until = state.config.checkLease ? confirmedAt(state) + state.config.lease : absl::InfiniteFuture();
    const auto settled = newestSettled(state, hold);
    if (settled == state.history.size() || now >= until) {
        return {};
    }
    const auto keyHash = base::stableHash(key.data(), key.size());
    auto units = total;
    for (auto i = settled; i < state.history.size(); ++i) {
        units = std::min(units, shareUnder(state.history[i], state.self, total, keyHash));
    }
    return {units, until};
}

auto shareHolders(const contracts::HostList &list, std::uint32_t units, std::string_view key) -> std::vector<base::HostId>
{
    return impl::firstRanked(list, base::stableHash(key.data(), key.size()), units, false);
}

} // namespace tamarackspan::membership
