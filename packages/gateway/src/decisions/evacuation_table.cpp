#include "tamarackspan/gateway/decisions/evacuation_table.h"

#include "tamarackspan/base/random.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <tuple>
#include <utility>

namespace tamarackspan::gateway {

namespace {

auto isStatedInEffect(const EvacuationRecord &record) -> bool
{
    return record.stated.state.since > record.own.since;
}

/// Replaces a record, and notes what that changes in effect.
auto update(EvacuationStep &step, const std::string &dataCentre, EvacuationRecord next, absl::Time now) -> void
{
    auto &record = step.next[dataCentre];
    const auto before = effectiveState(record).evacuated;
    const auto &after = effectiveState(next);
    if (after.evacuated != before) {
        next.returningSince = after.evacuated ? absl::InfinitePast() : now;
        step.changes.push_back({.dataCentre = dataCentre, .state = after, .host = isStatedInEffect(next) ? next.stated.host : std::string()});
    }
    record = std::move(next);
}

auto makeRoom(EvacuationTable &table) -> bool
{
    if (table.size() < maxEvacuationRecords) {
        return true;
    }
    const auto found = std::ranges::find_if(table, [](const auto &entry) {
        return entry.second.own == EvacuationState() && !effectiveState(entry.second).evacuated;
    });
    if (found == table.end()) {
        return false;
    }
    table.erase(found);
    return true;
}

} // namespace

auto effectiveState(const EvacuationRecord &record) -> const EvacuationState &
{
    return isStatedInEffect(record) ? record.stated.state : record.own;
}

auto afterReading(EvacuationTable table, const EvacuationReading &reading, absl::Time now) -> EvacuationStep
{
    auto step = EvacuationStep{.next = std::move(table)};
    if (reading.storeReplaced) {
        for (auto &[dataCentre, record] : step.next) {
            record = {.own = {.evacuated = effectiveState(record).evacuated}, .returningSince = record.returningSince};
        }
    }
    for (const auto &item : reading.items) {
        const auto found = step.next.find(item.dataCentre);
        if (reading.fromCopy && found != step.next.end()) {
            continue;
        }
        auto record = found == step.next.end() ? EvacuationRecord() : found->second;
        if (item.since > record.own.since) {
            record.own = {.evacuated = item.evacuated, .since = item.since};
        } else if (reading.listedAt.has_value() && *reading.listedAt > record.own.since && item.evacuated != record.own.evacuated) {
            // The listing of another store, which gave its item an earlier revision.
            record.own = {.evacuated = item.evacuated, .since = *reading.listedAt};
        }
        update(step, item.dataCentre, std::move(record), now);
    }
    if (!reading.listedAt.has_value() || reading.fromCopy) {
        return step;
    }
    auto missing = std::vector<std::string>();
    for (const auto &[dataCentre, record] : step.next) {
        const auto &state = effectiveState(record);
        const auto listed = std::ranges::find(reading.items, dataCentre, &census::EvacuationStatement::dataCentre) != reading.items.end();
        if (!listed && state.evacuated && state.since <= *reading.listedAt) {
            missing.push_back(dataCentre);
        }
    }
    for (const auto &dataCentre : missing) {
        auto record = step.next.at(dataCentre);
        record.own = {.evacuated = false, .since = *reading.listedAt};
        update(step, dataCentre, std::move(record), now);
    }
    return step;
}

auto afterStatements(EvacuationTable table, std::string_view host, std::span<const census::EvacuationStatement> statements, absl::Time now) -> EvacuationStep
{
    auto step = EvacuationStep{.next = std::move(table)};
    for (const auto &statement : statements) {
        const auto found = step.next.find(statement.dataCentre);
        const auto known = found == step.next.end() ? EvacuationRecord() : found->second;
        const auto state = EvacuationState{.evacuated = statement.evacuated, .since = statement.since};
        const auto isLater = state.since > effectiveState(known).since && state != known.refuted;
        if (!isLater || (found == step.next.end() && !makeRoom(step.next))) {
            continue;
        }
        auto record = known;
        record.stated = StatedEvacuation{.state = state, .host = std::string(host), .receivedAt = now};
        update(step, statement.dataCentre, std::move(record), now);
    }
    return step;
}

auto afterOwnReads(EvacuationTable table, absl::Time knownUntil, absl::Time now) -> EvacuationStep
{
    auto step = EvacuationStep{.next = std::move(table)};
    auto refuted = std::vector<std::string>();
    for (const auto &[dataCentre, record] : step.next) {
        if (isStatedInEffect(record) && knownUntil > record.stated.receivedAt) {
            refuted.push_back(dataCentre);
        }
    }
    for (const auto &dataCentre : refuted) {
        auto record = step.next.at(dataCentre);
        record.refuted = std::exchange(record.stated, {}).state;
        update(step, dataCentre, std::move(record), now);
    }
    return step;
}

auto usableFrom(const EvacuationTable &table, std::string_view dataCentre, std::string_view host, std::string_view leaf, const EvacuationOptions &options)
    -> absl::Time
{
    const auto found = table.find(dataCentre);
    if (found == table.end()) {
        return absl::InfinitePast();
    }
    if (effectiveState(found->second).evacuated) {
        return absl::InfiniteFuture();
    }
    if (found->second.returningSince == absl::InfinitePast()) {
        return absl::InfinitePast();
    }
    const auto hash = base::mixBits(base::stableHash(host.data(), host.size())) ^ base::stableHash(leaf.data(), leaf.size());
    const auto share = static_cast<double>(base::mixBits(hash)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return found->second.returningSince + options.returnSpread * share;
}

auto distanceCounts(const EvacuationTable &table, const EvacuationOptions &options, absl::Time now) -> bool
{
    return std::ranges::none_of(table, [&options, now](const auto &entry) {
        return effectiveState(entry.second).evacuated || now < entry.second.returningSince + options.returnSpread;
    });
}

auto evacuatedCount(const EvacuationTable &table) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(table, [](const auto &entry) {
        return effectiveState(entry.second).evacuated;
    }));
}

auto statementsOf(const EvacuationTable &table, std::size_t limit) -> std::vector<census::EvacuationStatement>
{
    auto statements = std::vector<census::EvacuationStatement>();
    for (const auto &[dataCentre, record] : table) {
        const auto &state = effectiveState(record);
        if (state != EvacuationState()) {
            statements.push_back({.dataCentre = dataCentre, .evacuated = state.evacuated, .since = state.since});
        }
    }
    std::ranges::stable_sort(statements, [](const auto &one, const auto &other) {
        return std::tie(one.evacuated, one.since) > std::tie(other.evacuated, other.since);
    });
    statements.resize(std::min(statements.size(), limit));
    return statements;
}

} // namespace tamarackspan::gateway
