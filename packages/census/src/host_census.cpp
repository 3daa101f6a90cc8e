#include "tamarackspan/census/host_census.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace tamarackspan::census {

namespace {

/// A fan-out query is forwarded only to a host with at least this many times the capacity: below that, forwarding costs as much as it saves.
constexpr auto forwardingCapacityRatio = std::uint32_t{2};
/// How many of the strongest hosts of the requester's data centre a reply names, so that the requester can still forward queries if one of them is down.
constexpr auto strongestInReply = std::size_t{3};

/// Returns whether forwarding a query from a host of capacity `own` to one of capacity `target` is worth its cost.
auto isWorthForwarding(std::uint32_t target, std::uint32_t own) -> bool
{
    return target >= own * forwardingCapacityRatio;
}

auto isNewer(const HostRecord &record, const HostRecord &known) -> bool
{
    return std::pair(record.incarnation, record.sequence) > std::pair(known.incarnation, known.sequence);
}

} // namespace

auto countCoordinators(const std::vector<const HostRecord *> &hosts) -> std::size_t
{
    auto greatest = std::map<std::string_view, std::uint32_t>();
    for (const auto *const host : hosts) {
        auto &capacity = greatest[host->dataCentre];
        capacity = std::max(capacity, host->capacity);
    }
    return static_cast<std::size_t>(std::ranges::count_if(hosts, [&greatest](const HostRecord *host) {
        return !isWorthForwarding(greatest[host->dataCentre], host->capacity);
    }));
}

HostCensus::HostCensus(HostRecord self, CensusOptions options, absl::Time now)
    : ownName(self.name),
      options(options),
      startedAt(now)
{
    this->hosts[this->ownName] = {.record = std::move(self), .heardAt = now};
}

auto HostCensus::applyReport(const HostReport &report, absl::Time now) -> void
{
    for (const auto &record : report.records) {
        this->applyRecord(record, now);
    }
    if (report.known >= this->reportedCount || now - this->reportedCountAt > this->options.reportedCountValidity) {
        this->reportedCount = report.known;
        this->reportedCountAt = now;
    }
}

namespace {

/// Adds reports to up to `count` of the hosts, chosen at random.
auto addRandomHosts(std::vector<PlannedReport> &planned, std::vector<HostRecord> hosts, std::size_t count, bool wantsReply, base::Random &random) -> void
{
    for (auto added = std::size_t{0}; added < count && !hosts.empty(); ++added) {
        const auto at = static_cast<std::ptrdiff_t>(random.below(hosts.size()));
        planned.push_back({.ip = hosts[static_cast<std::size_t>(at)].ip, .wantsReply = wantsReply});
        hosts.erase(hosts.begin() + at);
    }
}

auto countByDataCentre(const std::vector<const HostRecord *> &records) -> HostCounts
{
    auto counts = HostCounts();
    for (const auto *const record : records) {
        ++counts[record->dataCentre];
    }
    return counts;
}

} // namespace

auto HostCensus::planProbes(std::string_view dataCentre, std::size_t count, base::Random &random) const -> std::vector<PlannedReport>
{
    auto hosts = std::vector<HostRecord>();
    for (const auto *const record : this->lastKnownHosts()) {
        if (record->name != this->ownName && record->dataCentre == dataCentre) {
            hosts.push_back(*record);
        }
    }
    auto planned = std::vector<PlannedReport>();
    addRandomHosts(planned, std::move(hosts), count, true, random);
    return planned;
}

auto HostCensus::lastKnownHosts() const -> std::vector<const HostRecord *>
{
    auto latest = std::map<std::string_view, absl::Time>();
    for (const auto &[name, host] : this->hosts) {
        auto &heardAt = latest.try_emplace(host.record.dataCentre, absl::InfinitePast()).first->second;
        heardAt = std::max(heardAt, host.heardAt);
    }
    auto found = std::vector<const HostRecord *>();
    for (const auto &[name, host] : this->hosts) {
        if (latest[host.record.dataCentre] - host.heardAt <= this->options.quotaRetention) {
            found.push_back(&host.record);
        }
    }
    return found;
}

auto HostCensus::hostsByDataCentre(absl::Time now) const -> HostCounts
{
    return countByDataCentre(this->heardWithin(this->options.quotaRetention, now));
}

auto HostCensus::lastKnownHostsByDataCentre() const -> HostCounts
{
    return countByDataCentre(this->lastKnownHosts());
}

auto HostCensus::planSpread(std::size_t near, std::size_t far, base::Random &random, absl::Time now) const -> std::vector<PlannedReport>
{
    auto byDataCentre = std::map<std::string, std::vector<HostRecord>>();
    for (auto &host : this->alive(now)) {
        byDataCentre[host.dataCentre].push_back(std::move(host));
    }
    auto planned = std::vector<PlannedReport>();
    for (auto &[dataCentre, hosts] : byDataCentre) {
        addRandomHosts(planned, std::move(hosts), dataCentre == this->self().dataCentre ? near : far, false, random);
    }
    return planned;
}

auto HostCensus::rank(absl::Time now) const -> std::optional<std::size_t>
{
    if (this->self().stopping || !this->isSettled(now)) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::ranges::count_if(this->heardWithin(this->unreachableTimeout(now), now), [this](const HostRecord *host) {
        return !host->stopping && host->name < this->ownName;
    }));
}

auto HostCensus::planReports(const GossipSettings &settings, base::Random &random, absl::Time now) const -> std::vector<PlannedReport>
{
    auto planned = std::vector<PlannedReport>();
    auto near = this->alive(now);
    auto far = near;
    const auto &own = this->self();
    std::erase_if(near, [&own](const HostRecord &host) {
        return host.dataCentre != own.dataCentre;
    });
    std::erase_if(far, [&own](const HostRecord &host) {
        return host.dataCentre == own.dataCentre;
    });
    const auto knowsEnough = near.size() + far.size() >= settings.seeds.size();
    for (auto at = std::size_t{0}; at < settings.seeds.size(); ++at) {
        const auto isDue = own.sequence % (settings.roundsBetweenSeedReports * settings.seeds.size()) == settings.roundsBetweenSeedReports * at;
        if (settings.seeds[at] != own.ip && (!knowsEnough || isDue)) {
            planned.push_back({.ip = settings.seeds[at], .wantsReply = true});
        }
    }
    // An unreachable host is contacted as well: after a partition both sides may have dropped each other, and the seeds may be gone.
    addRandomHosts(planned, this->unreachable(now), 1, true, random);
    addRandomHosts(planned, std::move(near), settings.fanout, false, random);
    addRandomHosts(planned, std::move(far), 1, false, random);
    return planned;
}

auto HostCensus::roundInterval(const GossipSettings &settings, absl::Time now) const -> absl::Duration
{
    return now - this->startedAt < settings.startupPeriod ? settings.startupInterval : settings.interval;
}

auto HostCensus::makeReport(std::size_t count, bool wantsReply, base::Random &random, absl::Time now) const -> HostReport
{
    return {.records = this->recordsToGossip(count, {}, random, now), .known = this->knownQuotaHostCount(now), .wantsReply = wantsReply};
}

auto HostCensus::makeReply(const HostRecord &requester, std::size_t count, base::Random &random, absl::Time now) const -> HostReport
{
    auto records = this->recordsToGossip(count, requester.dataCentre, random, now);
    if (this->holdsNewerIncarnation(requester)) {
        records.push_back(this->hosts.at(requester.name).record);
    }
    return {.records = std::move(records), .known = this->knownQuotaHostCount(now)};
}

auto HostCensus::holdsNewerIncarnation(const HostRecord &sender) const -> bool
{
    const auto known = this->hosts.find(sender.name);
    return known != this->hosts.end() && sender.name != this->ownName && known->second.record.incarnation > sender.incarnation;
}

auto HostCensus::applyRecord(const HostRecord &record, absl::Time now) -> void
{
    if (record.name == this->ownName) {
        // This host's clock was set back between two starts, so other hosts take the earlier incarnation for the newer one.
        auto &own = this->hosts[this->ownName].record;
        if (record.incarnation > own.incarnation && record.incarnation < std::numeric_limits<std::uint64_t>::max()) {
            own.incarnation = record.incarnation + 1;
        }
        return;
    }
    if (record.name.empty()) {
        return;
    }
    const auto [place, isNew] = this->hosts.try_emplace(record.name, KnownHost{.record = record, .heardAt = now});
    if (!isNew && isNewer(record, place->second.record)) {
        place->second = {.record = record, .heardAt = now};
    }
}

auto HostCensus::beginRound(absl::Time now) -> const HostRecord &
{
    auto &own = this->hosts[this->ownName];
    ++own.record.sequence;
    own.heardAt = now;
    std::erase_if(this->hosts, [this, now](const auto &entry) {
        return now - entry.second.heardAt > this->options.forgottenAfter;
    });
    return own.record;
}

auto HostCensus::announceStop() -> void
{
    this->hosts[this->ownName].record.stopping = true;
}

auto HostCensus::self() const -> const HostRecord &
{
    return this->hosts.at(this->ownName).record;
}

auto HostCensus::knownQuotaHostCount(absl::Time now) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(this->hosts, [this, now](const auto &entry) {
        return entry.first == this->ownName || now - entry.second.heardAt <= this->options.quotaRetention;
    }));
}

auto HostCensus::unreachableTimeout(absl::Time now) const -> absl::Duration
{
    const auto rounds = static_cast<double>(this->knownQuotaHostCount(now)) / static_cast<double>(std::max<std::size_t>(this->options.hostsBeforeScaling, 1));
    return this->options.unreachableAfter * std::max(rounds, 1.0);
}

auto HostCensus::heardWithin(absl::Duration span, absl::Time now) const -> std::vector<const HostRecord *>
{
    auto found = std::vector<const HostRecord *>();
    for (const auto &[name, host] : this->hosts) {
        if (name == this->ownName || now - host.heardAt <= span) {
            found.push_back(&host.record);
        }
    }
    return found;
}

auto HostCensus::alive(absl::Time now) const -> std::vector<HostRecord>
{
    auto found = std::vector<HostRecord>();
    for (const auto *const record : this->heardWithin(this->unreachableTimeout(now), now)) {
        if (record->name != this->ownName) {
            found.push_back(*record);
        }
    }
    return found;
}

auto HostCensus::unreachable(absl::Time now) const -> std::vector<HostRecord>
{
    auto found = std::vector<HostRecord>();
    const auto span = this->unreachableTimeout(now);
    for (const auto &[name, host] : this->hosts) {
        if (name != this->ownName && now - host.heardAt > span) {
            found.push_back(host.record);
        }
    }
    return found;
}

auto HostCensus::isSettled(absl::Time now) const -> bool
{
    return now - this->startedAt >= this->options.settlingPeriod;
}

auto HostCensus::quotaHostCount(absl::Time now) const -> std::size_t
{
    const auto validCount = now - this->reportedCountAt <= this->options.reportedCountValidity ? this->reportedCount : 0;
    const auto known = std::max(this->knownQuotaHostCount(now), validCount);
    return this->isSettled(now) ? known : std::max(known, this->options.assumedHosts);
}

auto HostCensus::knownHostCount() const noexcept -> std::size_t
{
    return this->hosts.size();
}

auto HostCensus::coordinatorCount(absl::Time now) const -> std::size_t
{
    const auto known = this->heardWithin(this->options.quotaRetention, now);
    const auto strong = countCoordinators(known);
    if (!this->isSettled(now)) {
        return std::max(strong, this->options.assumedHosts);
    }
    // Among the hosts that others count and this one doesn't know yet, the same proportion of coordinators is assumed.
    const auto all = this->quotaHostCount(now);
    return (strong * all + known.size() - 1) / known.size();
}

auto HostCensus::isCoordinator(absl::Time now) const -> bool
{
    const auto &own = this->self();
    return std::ranges::none_of(this->heardWithin(this->options.quotaRetention, now), [&own](const HostRecord *record) {
        return record->dataCentre == own.dataCentre && isWorthForwarding(record->capacity, own.capacity);
    });
}

auto HostCensus::forwardingTargets(absl::Time now) const -> std::vector<HostRecord>
{
    auto found = this->alive(now);
    const auto &own = this->self();
    std::erase_if(found, [&own](const HostRecord &record) {
        return record.stopping || record.dataCentre != own.dataCentre || !isWorthForwarding(record.capacity, own.capacity);
    });
    return found;
}

auto HostCensus::recordsToGossip(std::size_t count, const std::string &dataCentre, base::Random &random, absl::Time now) const -> std::vector<HostRecord>
{
    auto others = std::vector<const KnownHost *>();
    const auto span = this->unreachableTimeout(now);
    for (const auto &[name, host] : this->hosts) {
        if (name != this->ownName && now - host.heardAt <= span) {
            others.push_back(&host);
        }
    }
    auto chosen = std::vector<HostRecord>{this->self()};
    const auto take = [&chosen, &others](std::size_t at) {
        chosen.push_back(others[at]->record);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    };
    if (!dataCentre.empty()) {
        std::ranges::stable_sort(others, std::greater{}, [&dataCentre](const KnownHost *host) {
            return host->record.dataCentre == dataCentre ? host->record.capacity : 0;
        });
        for (auto named = std::size_t{0}; named < strongestInReply && !others.empty() && others.front()->record.dataCentre == dataCentre; ++named) {
            take(0);
        }
    }
    std::ranges::sort(others, std::greater{}, &KnownHost::heardAt);
    for (const auto fresh = chosen.size() + (count - std::min(count, chosen.size())) / 2; chosen.size() < fresh && !others.empty();) {
        take(0);
    }
    while (chosen.size() < count && !others.empty()) {
        take(random.below(others.size()));
    }
    return chosen;
}

} // namespace tamarackspan::census
