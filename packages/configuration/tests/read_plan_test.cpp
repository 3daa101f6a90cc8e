#include "tamarackspan/configuration/read_plan.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace {

using namespace tamarackspan::configuration;
using namespace tamarackspan;

constexpr auto step = absl::Milliseconds(250);

/// Returns a contract that is valid unless the revision is divisible by 5.
auto contractText(const std::string &name, std::uint64_t revision) -> std::string
{
    return absl::StrCat("customer = \"", name, "\"\n[limits]\nrequests_per_second = 1\nburst = 0\nconcurrency = ", revision % 5 == 0 ? 0 : revision,
                        "\n[data_centres]\na = 1000\n[operations.o]\nservice = \"s\"\nkind = \"query\"\ndeadline_ms = 5\n");
}

/// The platform's contents at one revision, from key to document.
using Publication = std::map<std::string, Document>;

struct Call
{
    ReadAction action;
    absl::Time answerAt;
};

struct Host
{
    base::HostId id;
    DocumentStore store;
    ReadPlan plan;
    std::vector<Call> calls;
    bool platformReachable = true;
    /// The number of publications by which the platform that this host reaches is stale.
    std::size_t platformLag = 0;
    int side = 0;
    bool running = true;
    /// The reachable hosts last passed to the plan.
    std::vector<base::HostId> planHosts;
    /// The highest accepted revision seen under each key since the host's start.
    std::map<std::string, std::uint64_t> seen;
    std::uint64_t checkedGeneration = 0;
};

/// The hosts of one data centre on a virtual clock, with a platform that keeps its history of publications.
struct Fleet
{
    ReadPlanSettings settings;
    StoreRules rules;
    base::Random random{20261204};
    absl::Time now = absl::UnixEpoch();
    std::vector<Publication> history{Publication{}};
    std::vector<Host> hosts;
    std::uint64_t reads = 0;
    std::uint64_t reverts = 0;
    /// The platform answers watch calls immediately although nothing changed.
    bool answersAtOnce = false;
    /// Hosts learn immediately that another host died; otherwise they continue as if it were running.
    bool hostsKnowWhoRuns = true;
};

auto startHost(Fleet &fleet, std::size_t place) -> void
{
    auto &host = fleet.hosts[place];
    host.store = DocumentStore{};
    host.store.dataCentre = base::DataCentre("a");
    host.plan = makeReadPlan(fleet.settings, host.store.dataCentre, fleet.random.next(), fleet.now);
    host.store.rules = fleet.rules;
    host.calls.clear();
    host.planHosts.clear();
    host.seen.clear();
    host.checkedGeneration = 0;
}

auto makeFleet(std::size_t hosts, ReadPlanSettings settings = {}, StoreRules rules = {}) -> Fleet
{
    auto fleet = Fleet{};
    fleet.rules = rules;
    fleet.settings = settings;
    fleet.hosts.resize(hosts);
    for (auto i = std::size_t{0}; i < hosts; ++i) {
        fleet.hosts[i].id = base::HostId(absl::StrCat("10.0.0.", i + 1, ":7000"));
        startHost(fleet, i);
    }
    return fleet;
}

auto publish(Fleet &fleet, const std::string &name) -> std::uint64_t
{
    const auto revision = fleet.history.size();
    auto publication = fleet.history.back();
    publication["contracts/" + name] = {"contracts/" + name, base::Revision(revision), contractText(name, revision)};
    fleet.history.push_back(publication);
    return revision;
}

auto publicationFor(const Fleet &fleet, const Host &host) -> std::size_t
{
    return fleet.history.size() - 1 - std::min(host.platformLag, fleet.history.size() - 1);
}

auto answerList(Fleet &fleet, Host &host, const ListPrefix &call) -> void
{
    const auto revision = publicationFor(fleet, host);
    auto keys = std::vector<ListedKey>{};
    for (const auto &[key, document] : fleet.history[revision]) {
        if (key.starts_with(call.prefix)) {
            keys.push_back({key, document.revision});
        }
    }
    onListed(host.plan, host.store, call.prefix, base::Revision(revision), keys, fleet.now);
}

auto answerFetch(Fleet &fleet, Host &host, const FetchValue &call) -> void
{
    const auto &publication = fleet.history[publicationFor(fleet, host)];
    if (const auto place = publication.find(call.key); place != publication.end()) {
        applyDocument(host.store, place->second, DocumentSource::Platform, fleet.now);
    }
    onValue(host.plan, host.store, call.key, fleet.now);
}

auto changedUnder(const Fleet &fleet, const Host &host, const ListPrefix &call) -> bool
{
    const auto &publication = fleet.history[publicationFor(fleet, host)];
    return std::any_of(publication.begin(), publication.end(), [&call](const auto &entry) {
        return entry.first.starts_with(call.prefix) && call.after && entry.second.revision > *call.after;
    });
}

auto runCalls(Fleet &fleet, Host &host) -> void
{
    auto open = std::vector<Call>{};
    for (auto &call : std::exchange(host.calls, {})) {
        const auto *list = std::get_if<ListPrefix>(&call.action);
        if (!host.platformReachable) {
            continue;
        }
        if (list != nullptr && (fleet.now >= call.answerAt || fleet.answersAtOnce || changedUnder(fleet, host, *list))) {
            answerList(fleet, host, *list);
        } else if (list == nullptr) {
            answerFetch(fleet, host, std::get<FetchValue>(call.action));
        } else {
            open.push_back(call);
        }
    }
    host.calls = open;
}

auto sendCalls(Fleet &fleet, Host &host, const std::vector<base::HostId> &reachable) -> void
{
    if (host.planHosts != reachable) {
        setHosts(host.plan, reachable, host.id);
        host.planHosts = reachable;
    }
    for (auto &action : planReads(host.plan, host.store, fleet.now)) {
        const auto *list = std::get_if<ListPrefix>(&action);
        const auto wait = list == nullptr ? absl::ZeroDuration() : list->wait;
        host.calls.push_back({std::move(action), fleet.now + wait});
        ++fleet.reads;
    }
}

auto gossip(Fleet &fleet, Host &host, const Host &peer) -> void
{
    const auto digest = makeDigest(peer.plan, peer.store, fleet.now);
    const auto scope = differingScope(host.store, digest);
    if (scope) {
        for (const auto &document : documentsFor(peer.store, wantedKeys(host.store, listPage(peer.store, {*scope, ""}))).documents) {
            applyDocument(host.store, document, DocumentSource::Peer, fleet.now);
        }
    }
    onPeerDigest(host.plan, digest, !differingScope(host.store, digest), fleet.now);
}

auto countReverts(Fleet &fleet, Host &host) -> void
{
    if (std::exchange(host.checkedGeneration, host.store.generation) == host.store.generation) {
        return;
    }
    for (const auto &[key, stored] : host.store.documents) {
        const auto revision = stored.accepted ? stored.accepted->version.revision.get() : 0;
        auto &highest = host.seen[key];
        fleet.reverts += revision < highest ? 1 : 0;
        highest = std::max(highest, revision);
    }
}

/// Advances the clock by one step: answers arrive, calls are sent, and each host exchanges documents with a random peer on its side of the partition.
auto advance(Fleet &fleet) -> void
{
    fleet.now += step;
    for (auto &host : fleet.hosts) {
        if (!host.running) {
            continue;
        }
        auto reachable = std::vector<base::HostId>{};
        auto peers = std::vector<const Host *>{};
        for (const auto &peer : fleet.hosts) {
            if (peer.running && peer.side == host.side) {
                reachable.push_back(peer.id);
                peers.push_back(&peer);
            }
        }
        runCalls(fleet, host);
        sendCalls(fleet, host, fleet.hostsKnowWhoRuns ? reachable : host.planHosts);
        const auto *peer = peers[fleet.random.below(peers.size())];
        if (peer != &host) {
            gossip(fleet, host, *peer);
        }
        countReverts(fleet, host);
    }
}

auto run(Fleet &fleet, absl::Duration time) -> void
{
    for (const auto end = fleet.now + time; fleet.now < end;) {
        advance(fleet);
    }
}

auto accepted(const Host &host, const std::string &key) -> std::uint64_t
{
    const auto place = host.store.documents.find(key);
    return place == host.store.documents.end() || !place->second.accepted ? 0 : place->second.accepted->version.revision.get();
}

auto allHold(const Fleet &fleet, const std::string &key, std::uint64_t revision) -> bool
{
    return std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const Host &host) {
        return !host.running || accepted(host, key) == revision;
    });
}

auto readsPerHostSecond(const Fleet &fleet) -> double
{
    return static_cast<double>(fleet.reads) / static_cast<double>(fleet.hosts.size()) / absl::ToDoubleSeconds(fleet.now - absl::UnixEpoch());
}

TEST(ReadPlan, AChangeIsInForceEverywhereWithinFifteenSeconds)
{
    auto fleet = makeFleet(12);
    publish(fleet, "x");
    run(fleet, absl::Seconds(15));
    for (auto i = 0; i < 10; ++i) {
        auto revision = publish(fleet, "x");
        revision = revision % 5 == 0 ? publish(fleet, "x") : revision;
        run(fleet, absl::Seconds(15));
        ASSERT_TRUE(allHold(fleet, "contracts/x", revision)) << revision;
    }
    EXPECT_EQ(fleet.reverts, 0U);
}

/// Returns whether a change is in force within 15 s although all watch calls in flight stopped being answered.
auto isInForceWhenWatchesHang(ReadPlanSettings settings) -> bool
{
    auto fleet = makeFleet(12, settings);
    publish(fleet, "x");
    run(fleet, absl::Seconds(20));
    for (auto &host : fleet.hosts) {
        host.calls.clear();
    }
    const auto revision = publish(fleet, "x");
    run(fleet, absl::Seconds(15));
    return allHold(fleet, "contracts/x", revision);
}

/// Returns whether a change is in force within 15 s although the watching hosts have died and the others don't know it.
auto isInForceWithoutWatchers(ReadPlanSettings settings) -> bool
{
    auto fleet = makeFleet(12, settings);
    publish(fleet, "x");
    run(fleet, absl::Seconds(20));
    const auto watchers = chooseWatchers("contracts/", fleet.hosts.front().planHosts, watchersPerPrefix);
    for (auto &host : fleet.hosts) {
        host.running = std::find(watchers.begin(), watchers.end(), host.id) == watchers.end();
    }
    fleet.hostsKnowWhoRuns = false;
    const auto revision = publish(fleet, "x");
    run(fleet, absl::Seconds(15));
    return allHold(fleet, "contracts/x", revision);
}

TEST(ReadPlan, AChangeIsInForceInTimeWhenWatchesHangOrWatchersDie)
{
    EXPECT_TRUE(isInForceWhenWatchesHang({}));
    EXPECT_TRUE(isInForceWithoutWatchers({}));
}

/// Returns the longest time until a change is in force on three hosts whose two watchers are cut off from the platform. The first change is published
/// `firstAfter` after the start, each further one just after the only reader has read the list.
auto longestDelayWithOneReader(ReadPlanSettings settings, std::uint64_t seed, absl::Duration firstAfter) -> absl::Duration
{
    auto fleet = makeFleet(3, settings);
    fleet.random = base::Random(seed);
    for (auto i = std::size_t{0}; i < fleet.hosts.size(); ++i) {
        startHost(fleet, i);
    }
    publish(fleet, "x");
    run(fleet, firstAfter);
    const auto watchers = chooseWatchers("contracts/", fleet.hosts.front().planHosts, watchersPerPrefix);
    for (auto &host : fleet.hosts) {
        host.platformReachable = std::find(watchers.begin(), watchers.end(), host.id) == watchers.end();
    }
    auto longest = absl::ZeroDuration();
    for (auto change = 0; change < 4; ++change) {
        auto revision = publish(fleet, "x");
        revision = revision % 5 == 0 ? publish(fleet, "x") : revision;
        const auto begun = fleet.now;
        while (!allHold(fleet, "contracts/x", revision) && fleet.now - begun < absl::Minutes(2)) {
            advance(fleet);
        }
        longest = std::max(longest, fleet.now - begun);
    }
    return longest;
}

TEST(ReadPlan, AChangeIsInForceInTimeWhenOnlyANonWatcherReachesThePlatform)
{
    for (auto seed = std::uint64_t{1}; seed <= 50; ++seed) {
        for (const auto after : {absl::Seconds(3), absl::Seconds(8), absl::Seconds(20)}) {
            ASSERT_LE(longestDelayWithOneReader({}, seed, after), absl::Seconds(15)) << "seed " << seed << ", first change after " << after;
        }
    }
}

TEST(ReadPlan, TheSameChecksFailWithoutTimeoutAndFallback)
{
    auto settings = ReadPlanSettings{};
    settings.callTimeout = absl::Hours(1);
    EXPECT_FALSE(isInForceWhenWatchesHang(settings));
    settings = ReadPlanSettings{};
    settings.unwatchedAfter = absl::Hours(1);
    EXPECT_FALSE(isInForceWithoutWatchers(settings));
    settings = ReadPlanSettings{};
    settings.fallbackInterval = absl::Seconds(20);
    EXPECT_GT(longestDelayWithOneReader(settings, 1, absl::Seconds(3)), absl::Seconds(15));
}

/// Runs an hour with a change every 39 s, replaced hosts and occasional platform outages; returns the reads per host and second.
auto readsOverAnHour(ReadPlanSettings settings, bool answersAtOnce) -> double
{
    auto fleet = makeFleet(10, settings);
    fleet.answersAtOnce = answersAtOnce;
    for (auto i = 0; i < 60; ++i) {
        publish(fleet, absl::StrCat("c", i));
    }
    for (auto second = 0; second < 3600; ++second) {
        if (second % 39 == 0) {
            publish(fleet, absl::StrCat("c", second % 60));
        }
        if (second % 2520 == 2519) {
            startHost(fleet, fleet.random.below(fleet.hosts.size()));
        }
        for (auto &host : fleet.hosts) {
            host.platformReachable = second % 600 >= 60;
        }
        run(fleet, absl::Seconds(1));
    }
    const auto reads = readsPerHostSecond(fleet);
    std::cout << "reads per host and second: " << reads << "\n";
    return reads;
}

TEST(ReadPlan, ReadsStayUnderTheBudgetOverAnHourWithFailuresAndReplacedHosts)
{
    EXPECT_LT(readsOverAnHour({}, false), 0.48);
    EXPECT_LT(readsOverAnHour({}, true), 0.48);
}

TEST(ReadPlan, TheBudgetCheckFailsWithTheBudgetSwitchedOff)
{
    auto settings = ReadPlanSettings{};
    settings.enforcesBudget = false;
    EXPECT_GT(readsOverAnHour(settings, true), 0.48);
}

/// Causes partitions, stale platforms and host replacements in any order, ends them, and checks that nothing reverted and that all hosts hold the same
/// documents.
auto checkFaults(StoreRules rules) -> bool
{
    return rc::check("any faults", [rules] {
        auto fleet = makeFleet(5, {}, rules);
        fleet.random = base::Random(*rc::gen::arbitrary<std::uint64_t>());
        publish(fleet, "x");
        run(fleet, absl::Seconds(10));
        for (auto i = 0; i < 12; ++i) {
            publish(fleet, *rc::gen::elementOf(std::vector<std::string>{"x", "y"}));
            auto &host = fleet.hosts[*rc::gen::inRange<std::size_t>(0, 5)];
            host.platformReachable = *rc::gen::inRange(0, 3) > 0;
            host.platformLag = *rc::gen::inRange<std::size_t>(0, 6);
            host.side = *rc::gen::inRange(0, 2);
            if (*rc::gen::inRange(0, 4) == 0) {
                startHost(fleet, *rc::gen::inRange<std::size_t>(0, 5));
            }
            run(fleet, absl::Seconds(*rc::gen::inRange(0, 20)));
        }
        for (auto &host : fleet.hosts) {
            host.side = 0;
            host.platformLag = 0;
            host.platformReachable = true;
        }
        run(fleet, absl::Seconds(60));
        RC_ASSERT(fleet.reverts == 0U);
        for (const auto &host : fleet.hosts) {
            RC_ASSERT(listPage(host.store, {}).documents == listPage(fleet.hosts.front().store, {}).documents);
            RC_ASSERT(freshness(host.plan, fleet.now).level == FreshnessLevel::Confirmed);
        }
    });
}

TEST(ReadPlan, NothingRevertsAndAllConvergeAfterPartitionsStalePlatformsAndReplacedHosts)
{
    EXPECT_TRUE(checkFaults({}));
}

TEST(ReadPlan, TheFaultCheckFailsWhenOlderDocumentsAreTaken)
{
    EXPECT_FALSE(checkFaults({false, true}));
}

TEST(ReadPlan, ANewHostTakesTheHighestBeforeItServesAndAStalePlatformChangesNothing)
{
    auto fleet = makeFleet(3);
    publish(fleet, "x");
    const auto newest = publish(fleet, "x");
    run(fleet, absl::Seconds(20));
    for (auto &host : fleet.hosts) {
        host.platformLag = 1;
    }
    run(fleet, absl::Seconds(60));
    startHost(fleet, 0);
    auto &host = fleet.hosts[0];
    while (!mayServe(host.plan, host.store, fleet.now)) {
        advance(fleet);
    }
    EXPECT_EQ(accepted(host, "contracts/x"), newest);
    run(fleet, absl::Seconds(60));
    EXPECT_TRUE(allHold(fleet, "contracts/x", newest));
    EXPECT_EQ(freshness(host.plan, fleet.now).level, FreshnessLevel::StalePlatform);
    EXPECT_EQ(fleet.reverts, 0U);
}

/// Returns whether a change is fetched within 5 s after an hour in which the host list was read as often as the budget allows.
auto isFetchedDespiteConstantHostListReads(const ReadPlanSettings &settings) -> bool
{
    auto now = absl::UnixEpoch();
    auto store = DocumentStore{};
    store.dataCentre = base::DataCentre("a");
    auto plan = makeReadPlan(settings, store.dataCentre, 20261204, now);
    setHosts(plan, {base::HostId("h1"), base::HostId("h2")}, base::HostId("h1"));
    auto answers = std::multimap<absl::Time, std::string>{};
    auto fetched = false;
    const auto runUntil = [&](absl::Time end, base::Revision revision, const std::vector<ListedKey> &contracts) {
        for (; now < end; now += step) {
            for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
                const auto &prefix = answers.begin()->second;
                onListed(plan, store, prefix, revision, prefix == "contracts/" ? contracts : std::vector<ListedKey>{}, now);
            }
            for (const auto &action : planReads(plan, store, now)) {
                if (const auto *list = std::get_if<ListPrefix>(&action)) {
                    answers.emplace(list->prefix == "hosts/a" ? now : now + list->wait, list->prefix);
                }
                fetched = fetched || std::holds_alternative<FetchValue>(action);
            }
        }
    };
    runUntil(now + absl::Hours(1), base::Revision(1), {});
    onListed(plan, store, "contracts/", base::Revision(2), {{"contracts/x", base::Revision(2)}}, now);
    runUntil(now + absl::Seconds(5), base::Revision(2), {{"contracts/x", base::Revision(2)}});
    return fetched;
}

TEST(ReadPlan, HostListReadsLeaveCallsForChanges)
{
    EXPECT_TRUE(isFetchedDespiteConstantHostListReads({}));
}

/// The plan of a host of four that doesn't watch the contracts, has listed a change of one, and waits for a peer to send it. All peers are reachable.
struct WaitingHost
{
    explicit WaitingHost(std::uint64_t seed)
    {
        this->store.dataCentre = base::DataCentre("a");
        this->plan = makeReadPlan({}, this->store.dataCentre, seed, this->now);
        for (const auto *name : {"h1", "h2", "h3", "h4"}) {
            this->hosts.emplace_back(name);
        }
        this->watchers = chooseWatchers("contracts/", this->hosts, watchersPerPrefix);
        this->self = *std::find_if(this->hosts.begin(), this->hosts.end(), [this](const base::HostId &host) {
            return std::find(this->watchers.begin(), this->watchers.end(), host) == this->watchers.end();
        });
        setHosts(this->plan, this->hosts, this->self);
        onListed(this->plan, this->store, "contracts/", base::Revision(2), {{"contracts/x", base::Revision(2)}}, this->now);
    }

    /// Returns how long it takes until the host fetches the change, at most `limit`; peers are heard all the time and have other documents.
    [[nodiscard]] auto fetchedAfter(absl::Duration limit) -> absl::Duration
    {
        const auto begun = this->now;
        for (; this->now - begun < limit; this->now += step) {
            onPeerDigest(this->plan, {this->store.dataCentre, {}, base::Revision(2), {}}, false, this->now);
            for (const auto &action : planReads(this->plan, this->store, this->now)) {
                if (std::holds_alternative<FetchValue>(action)) {
                    return this->now - begun;
                }
            }
        }
        return limit;
    }

    absl::Time now = absl::UnixEpoch();
    DocumentStore store;
    ReadPlan plan;
    std::vector<base::HostId> hosts;
    std::vector<base::HostId> watchers;
    base::HostId self;
};

// Guards against a change that is in force only after half a minute because all hosts that are left listed it before both watchers died.
TEST(ReadPlan, AHostThatBecomesWatcherFetchesWhatItLeftToPeers)
{
    for (auto seed = std::uint64_t{1}; seed <= 50; ++seed) {
        auto host = WaitingHost(seed);
        ASSERT_EQ(host.fetchedAfter(absl::Seconds(2)), absl::Seconds(2));
        std::erase_if(host.hosts, [&host](const base::HostId &id) {
            return std::find(host.watchers.begin(), host.watchers.end(), id) != host.watchers.end();
        });
        setHosts(host.plan, host.hosts, host.self);
        EXPECT_EQ(host.fetchedAfter(absl::Seconds(30)), absl::ZeroDuration()) << "seed " << seed;
    }
}

// Guards against the same delay where the watchers are reachable and can't read the platform.
TEST(ReadPlan, AHostFetchesWhatItLeftToPeersOnceThePrefixIsUnwatched)
{
    for (auto seed = std::uint64_t{1}; seed <= 50; ++seed) {
        EXPECT_LT(WaitingHost(seed).fetchedAfter(absl::Seconds(30)), absl::Seconds(12)) << "seed " << seed;
    }
}

TEST(ReadPlan, AnIsolatedHostReportsThatItsFreshnessIsNotConfirmed)
{
    auto fleet = makeFleet(1);
    fleet.hosts[0].platformReachable = false;
    publish(fleet, "x");
    run(fleet, absl::Seconds(20));
    EXPECT_FALSE(mayServe(fleet.hosts[0].plan, fleet.hosts[0].store, fleet.now));
    EXPECT_EQ(freshness(fleet.hosts[0].plan, fleet.now).level, FreshnessLevel::Unknown);
    fleet.hosts[0].platformReachable = true;
    run(fleet, absl::Seconds(40));
    EXPECT_TRUE(mayServe(fleet.hosts[0].plan, fleet.hosts[0].store, fleet.now));
    EXPECT_EQ(freshness(fleet.hosts[0].plan, fleet.now).level, FreshnessLevel::PlatformOnly);
    auto cutOff = makeFleet(2);
    publish(cutOff, "x");
    run(cutOff, absl::Seconds(20));
    EXPECT_EQ(freshness(cutOff.hosts[0].plan, cutOff.now).level, FreshnessLevel::Confirmed);
    cutOff.hosts[0].platformReachable = cutOff.hosts[1].platformReachable = false;
    run(cutOff, absl::Seconds(60));
    EXPECT_EQ(freshness(cutOff.hosts[0].plan, cutOff.now).level, FreshnessLevel::Unconfirmed);
    startHost(cutOff, 0);
    cutOff.hosts[1].plan.prefixes = makeReadPlan({}, base::DataCentre("a"), 1, cutOff.now).prefixes;
    run(cutOff, absl::Seconds(20));
    EXPECT_TRUE(mayServe(cutOff.hosts[0].plan, cutOff.hosts[0].store, cutOff.now));
    EXPECT_EQ(freshness(cutOff.hosts[0].plan, cutOff.now).level, FreshnessLevel::PeersOnly);
}

TEST(ReadBudget, PoolsTheWatchersPartAndStaysUnderTheTargetForEverySize)
{
    EXPECT_TRUE(rc::check("sum over the hosts of a data centre", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 2000);
        const auto watchers = std::min<std::size_t>(hosts, watchersPerPrefix);
        const auto sum = static_cast<double>(hosts - watchers) * readRate(hosts, watchersPerPrefix, 0)
            + static_cast<double>(watchers) * readRate(hosts, watchersPerPrefix, prefixCount);
        RC_ASSERT(sum <= 0.451 * static_cast<double>(hosts));
    }));
    auto budget = makeReadBudget({1, 2}, absl::UnixEpoch());
    EXPECT_TRUE(takeRead(budget, absl::UnixEpoch()));
    EXPECT_TRUE(takeRead(budget, absl::UnixEpoch()));
    EXPECT_FALSE(takeRead(budget, absl::UnixEpoch() - absl::Seconds(9)));
    EXPECT_TRUE(takeRead(budget, absl::UnixEpoch() + absl::Seconds(1)));
}

} // namespace
