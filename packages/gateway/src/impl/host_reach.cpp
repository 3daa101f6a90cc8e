#include "impl/host.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace tamarackspan::gateway::impl {

namespace {

/// How many states of data centres a report to other hosts carries: more than there are data centres, and a part of a datagram.
constexpr auto maxStatedEvacuations = std::size_t{8};

} // namespace

auto Host::onUnreadAnswer(std::string_view reader, const http::UnreadAnswer &unread) -> void
{
    this->shard.add(this->unreadAnswers);
    this->log.warning("an answer isn't read and takes too much memory; its connection is closed",
                      {{"reader", reader}, {"bytes", unread.bytes}, {"ms", absl::ToInt64Milliseconds(unread.heldFor)}, {"total_bytes", unread.totalBytes}});
}

auto Host::onHostHeard(const census::HostRecord &host) -> void
{
    const auto start = this->census.self().incarnation;
    if (const auto before = std::exchange(this->announcedIncarnation, start); before != start) {
        this->log.warning("others took an earlier start of this host for newer: the clock was set back", {{"start", start}, {"before", before}});
    }
    if (const auto reached = this->reach.find(host.dataCentre); reached != this->reach.end()) {
        reached->second = DataCentreReachability();
    }
}

auto Host::onReachStated(const census::HostReport &report) -> void
{
    const auto &sender = report.records.front();
    const auto &own = this->settings.gateway.dataCentre;
    const auto &statement = report.reach;
    if (sender.dataCentre != own || sender.name == this->settings.hostName) {
        return;
    }
    if (statement.outOfReach.empty()) {
        this->peerDemands.erase(sender.name);
        if (this->cutOffDataCentres.empty()) {
            return;
        }
    }
    const auto now = base::monotonicNow();
    const auto known = this->census.lastKnownHostsByDataCentre();
    for (const auto &name : statement.outOfReach) {
        if (name != own && known.contains(name)) {
            this->reach.try_emplace(name);
        }
    }
    for (auto &[name, reached] : this->reach) {
        if (name == own) {
            continue;
        }
        const auto named = std::ranges::find(statement.outOfReach, name) != statement.outOfReach.end();
        const auto before = std::exchange(reached, afterPeerStatement(reached, named, ReachabilityOptions(), now));
        if (reached.unansweredSince != before.unansweredSince) {
            this->log.info("another host can't reach a data centre; it is probed from here too", {{"host", sender.name}, {"data_centre", name}});
        }
    }
    if (!statement.outOfReach.empty() && known.contains(own) && this->peerDemands.size() < known.at(own)) {
        this->peerDemands[sender.name] = {.demand = {.asked = statement.asked, .served = statement.served}, .statedAt = now};
    }
}

auto Host::onRevisionStated(const census::HostReport &report) -> void
{
    if (!report.revision.has_value()) {
        return;
    }
    if (this->pauses.mayBeDelayed(base::monotonicNow())) {
        this->shard.add(this->delayedStatements);
        return;
    }
    this->follower.noteStatement(*report.revision);
}

auto Host::onEvacuationsStated(const census::HostReport &report) -> void
{
    const auto &sender = report.records.front();
    if (!report.evacuations.empty() && sender.name != this->settings.hostName) {
        this->applyEvacuations(afterStatements(this->evacuations, sender.name, report.evacuations, base::monotonicNow()));
    }
}

auto Host::applyEvacuations(EvacuationStep step) -> void
{
    this->evacuations = std::move(step.next);
    auto readHere = false;
    for (const auto &change : step.changes) {
        readHere = readHere || change.host.empty();
        this->log.warning(change.state.evacuated ? "a data centre is evacuated; its leafs get no new requests"
                                                 : "a data centre is no longer evacuated; its leafs are used again one by one",
                          {{"data_centre", change.dataCentre},
                           {"evacuated", change.state.evacuated},
                           {"era", change.state.since.era},
                           {"revision", change.state.since.revision},
                           {"source", change.host.empty() ? std::string("store") : change.host},
                           {"knowledge_age_ms", this->knowledgeAgeMs()}});
        if (change.state.evacuated) {
            this->gateway.onEvacuated(change.dataCentre);
        }
    }
    this->censusLink.spreadEvacuations(statementsOf(this->evacuations, maxStatedEvacuations), readHere);
}

auto Host::checkReach() -> void
{
    const auto now = base::monotonicNow();
    const auto allResponsive = std::ranges::none_of(this->reach, [now](const auto &entry) {
        return isUnresponsive(entry.second, ReachabilityOptions(), now);
    });
    if (allResponsive && this->cutOffDataCentres.empty()) {
        return;
    }
    const auto lastHosts = this->census.lastKnownHostsByDataCentre();
    const auto selfIn = [this](std::string_view dataCentre) {
        return dataCentre == this->settings.gateway.dataCentre ? std::size_t{1} : std::size_t{0};
    };
    const auto peers = lastHosts.find(this->settings.gateway.dataCentre);
    const auto options = ReachabilityOptions{.cutOffProbeInterval = cutOffProbeInterval(peers == lastHosts.end() ? 1 : peers->second)};
    auto cutOff = std::set<std::string, std::less<>>();
    for (auto &[dataCentre, reached] : this->reach) {
        const auto known = lastHosts.find(dataCentre);
        // Without other hosts there that could reply to probes, a data centre isn't checked.
        const auto step = known != lastHosts.end() && known->second > selfIn(dataCentre) ? advanceReachability(reached, options, now) : ReachabilityStep();
        reached = step.next;
        if (step.probe) {
            this->censusLink.probe(dataCentre);
        }
        if (reached.cutOff) {
            cutOff.insert(dataCentre);
        }
    }
    this->noteCutOff(cutOff);
    const auto demand = cutOff.empty() ? RequestDemand() : this->gateway.demand();
    const auto stated = statedDemand(demand, this->peerDemands, now);
    this->censusLink.setReach(
        {.outOfReach = {cutOff.begin(), cutOff.end()}, .asked = static_cast<float>(stated.asked), .served = static_cast<float>(stated.served)});
    auto view = ReadinessView{.hostsInReach = 0, .allHosts = 0, .servable = cutOff.empty() ? 1.0 : servableShare(demand, this->peerDemands, now)};
    // Counts only hosts that the census still regards as alive: those that have been unreachable for long may be lost and can't take over callers.
    for (const auto &[dataCentre, count] : this->census.hostsByDataCentre(now)) {
        view.allHosts += count;
        view.hostsInReach += cutOff.contains(dataCentre) ? selfIn(dataCentre) : count;
    }
    const auto unready = shouldReportUnready(view);
    if (unready != this->unreadySince.has_value()) {
        this->unreadySince = unready ? std::optional(now) : std::nullopt;
        this->log.info(unready ? "leaves callers to hosts that reach more leafs" : "takes callers again",
                       {{"servable", view.servable}, {"peers", this->peerDemands.size()}, {"hosts_in_reach", view.hostsInReach}, {"hosts", view.allHosts}});
    }
    // Once the balancer sends new connections elsewhere, callers with open connections are better served by reconnecting.
    this->callerServer.setDraining(this->stopping || (unready && now - *this->unreadySince >= this->settings.stop.balancerWait));
}

auto Host::noteCutOff(std::set<std::string, std::less<>> cutOff) -> void
{
    if (cutOff != this->cutOffDataCentres) {
        this->log.warning("data centres out of reach", {{"now", absl::StrJoin(cutOff, ",")}, {"before", absl::StrJoin(this->cutOffDataCentres, ",")}});
        this->cutOffDataCentres = std::move(cutOff);
    }
}

} // namespace tamarackspan::gateway::impl
