#include "tamarackspan/census/census_link.h"
#include "tamarackspan/census/host_census.h"

#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::census;

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto record(const std::string &name, std::uint32_t capacity = 120, const std::string &dataCentre = "a") -> HostRecord
{
    return {.name = name, .ip = "10.0.0." + name, .dataCentre = dataCentre, .capacity = capacity, .incarnation = 1, .sequence = 1};
}

TEST(HostCensus, AssumesManyHostsUntilItHasSettled)
{
    const auto census = HostCensus(record("1"), {}, start);
    EXPECT_FALSE(census.isSettled(start));
    EXPECT_TRUE(census.isSettled(start + absl::Seconds(10)));
    EXPECT_EQ(census.quotaHostCount(start), 64);
    EXPECT_EQ(census.quotaHostCount(start + absl::Seconds(10)), 1);
}

TEST(HostCensus, AnUnreachableHostKeepsItsShareButGetsNoQueries)
{
    auto census = HostCensus(record("1", 120), {}, start);
    census.applyRecord(record("2", 500), start);
    const auto later = start + absl::Seconds(20);
    EXPECT_EQ(census.forwardingTargets(start).size(), 1);
    EXPECT_TRUE(census.forwardingTargets(later).empty());
    EXPECT_EQ(census.quotaHostCount(later), 2);
    EXPECT_EQ(census.unreachable(later).size(), 1);
}

TEST(HostCensus, OldRecordsPassedOnByOthersDoNotKeepAHostAlive)
{
    auto census = HostCensus(record("1"), {}, start);
    census.applyRecord(record("2"), start);
    census.applyRecord(record("2"), start + absl::Seconds(6));
    EXPECT_TRUE(census.alive(start + absl::Seconds(6)).empty());
    auto next = record("2");
    next.sequence = 2;
    census.applyRecord(next, start + absl::Seconds(6));
    EXPECT_EQ(census.alive(start + absl::Seconds(6)).size(), 1);
}

TEST(HostCensus, ARestartedHostIsNewerThanItsLastReport)
{
    auto census = HostCensus(record("1"), {}, start);
    auto before = record("2");
    before.sequence = 500;
    before.stopping = true;
    census.applyRecord(before, start);
    auto after = record("2");
    after.incarnation = 2;
    census.applyRecord(after, start + absl::Seconds(1));
    EXPECT_FALSE(census.alive(start + absl::Seconds(1)).front().stopping);
}

// The clock of a host was set back by seconds between two starts. Without a reply that corrects its incarnation, other hosts would ignore it for a minute.
TEST(HostCensus, AHostThatStartsWithItsClockSetBackIsHeardAfterOneReply)
{
    auto random = base::Random(1);
    auto other = HostCensus(record("1"), {}, start);
    auto before = record("2", 500);
    before.incarnation = 9000;
    before.sequence = 300;
    other.applyRecord(before, start);
    auto again = record("2", 500);
    again.incarnation = 4000;
    auto restarted = HostCensus(again, {}, start + absl::Seconds(8));
    const auto now = start + absl::Seconds(8);
    other.applyReport(restarted.makeReport(10, false, random, now), now);
    EXPECT_TRUE(other.forwardingTargets(now).empty());
    ASSERT_TRUE(other.holdsNewerIncarnation(restarted.self()));
    restarted.applyReport(other.makeReply(restarted.self(), 10, random, now), now);
    other.applyReport(restarted.makeReport(10, false, random, now), now);
    EXPECT_EQ(other.forwardingTargets(now), std::vector{restarted.self()});
    EXPECT_FALSE(other.holdsNewerIncarnation(restarted.self()));
}

// A data centre is cut off for longer than its hosts count for global limits, and no seed is alive when the partition ends.
TEST(HostCensus, HostsBehindALongPartitionAreContactedAndCountedButHaveNoShare)
{
    auto random = base::Random(1);
    auto census = HostCensus(record("1"), {}, start);
    census.applyRecord(record("gone", 120, "b"), start - absl::Minutes(5));
    census.applyRecord(record("2", 120, "b"), start);
    census.applyRecord(record("3", 120, "b"), start);
    const auto later = start + absl::Minutes(10);
    census.beginRound(later);
    EXPECT_EQ(census.quotaHostCount(later), 1);
    EXPECT_EQ(census.makeReport(10, false, random, later).known, 1);
    EXPECT_EQ(census.hostsByDataCentre(later), (HostCounts{{"a", 1}}));
    EXPECT_EQ(census.lastKnownHostsByDataCentre(), (HostCounts{{"a", 1}, {"b", 2}}));
    EXPECT_EQ(census.planProbes("b", 5, random).size(), 2);
    EXPECT_EQ(census.planReports({}, random, later).size(), 1);
    census.beginRound(start + absl::Hours(2));
    EXPECT_TRUE(census.planReports({}, random, start + absl::Hours(2)).empty());
}

TEST(HostCensus, IgnoresAnOutOfRangeIncarnationOfItself)
{
    auto census = HostCensus(record("1"), {}, start);
    auto forged = record("1");
    forged.incarnation = std::numeric_limits<std::uint64_t>::max();
    census.applyRecord(forged, start);
    EXPECT_EQ(census.self().incarnation, 1);
}

TEST(HostCensus, DoesNotForwardToEqualStoppingOrRemoteHosts)
{
    auto census = HostCensus(record("1", 120), {}, start);
    census.applyRecord(record("2", 200), start);
    census.applyRecord(record("3", 500, "b"), start);
    auto stopping = record("4", 500);
    stopping.stopping = true;
    census.applyRecord(stopping, start);
    EXPECT_TRUE(census.forwardingTargets(start).empty());
    EXPECT_EQ(HostCensus(record("1"), {.settlingPeriod = absl::ZeroDuration()}, start).coordinatorCount(start), 1);
}

/// Simulates a deployment whose hosts all start at about the same time, where datagrams to hosts that haven't started yet are lost. Returns the proportion of
/// weak hosts that know a stronger host of their data centre after the given time.
auto proportionKnowingAStrongerHost(const GossipSettings &base, std::size_t count, std::uint64_t seed, absl::Duration after) -> double
{
    struct Started
    {
        std::unique_ptr<HostCensus> census;
        absl::Time startAt;
        absl::Time nextAt;
    };
    auto random = base::Random(seed);
    auto options = base;
    options.seeds = {"10.0.0.0", "10.0.0.1", "10.0.0.2"};
    auto hosts = std::vector<Started>();
    for (auto at = std::size_t{0}; at < count; ++at) {
        const auto startAt = start + absl::Milliseconds(300) * random.unit();
        auto self = record(std::to_string(at), at % 10 == 5 ? 500 : 120, std::to_string(at % 3));
        hosts.push_back({.census = std::make_unique<HostCensus>(std::move(self), CensusOptions{}, startAt), .startAt = startAt, .nextAt = startAt});
    }
    const auto hostAt = [&hosts](const std::string &ip) -> Started & {
        return hosts[std::stoul(ip.substr(std::string("10.0.0.").size()))];
    };
    for (auto now = start; now <= start + absl::Milliseconds(300) + after; now += absl::Milliseconds(10)) {
        for (auto &host : hosts) {
            if (now < host.nextAt) {
                continue;
            }
            host.census->beginRound(now);
            for (const auto &planned : host.census->planReports(options, random, now)) {
                auto &other = hostAt(planned.ip);
                if (now < other.startAt) {
                    continue;
                }
                other.census->applyReport(host.census->makeReport(10, planned.wantsReply, random, now), now);
                if (planned.wantsReply) {
                    host.census->applyReport(other.census->makeReply(host.census->self(), 10, random, now), now);
                }
            }
            host.nextAt = now + host.census->roundInterval(options, now);
        }
    }
    auto weak = 0;
    auto knowing = 0;
    for (const auto &host : hosts) {
        if (host.census->self().capacity < 500) {
            ++weak;
            knowing += host.census->forwardingTargets(start + absl::Milliseconds(300) + after).empty() ? 0 : 1;
        }
    }
    return static_cast<double>(knowing) / weak;
}

TEST(HostCensus, HostsThatAllStartAtOnceKnowStrongerOnesWithinHalfASecond)
{
    for (const auto count : {std::size_t{60}, std::size_t{300}}) {
        for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
            EXPECT_GE(proportionKnowingAStrongerHost({}, count, seed, absl::Milliseconds(500)), 0.9) << count << " hosts, seed " << seed;
        }
    }
    auto slow = GossipSettings{};
    slow.startupInterval = slow.interval;
    EXPECT_LT(proportionKnowingAStrongerHost(slow, 60, 1, absl::Milliseconds(500)), 0.9);
}

TEST(HostCensus, EstimatesCoordinatorsAmongHostsItDoesNotKnowYet)
{
    auto census = HostCensus(record("1", 500), {}, start);
    const auto later = start + absl::Seconds(10);
    census.applyReport({.records = {record("2", 120), record("3", 120), record("4", 500)}, .known = 300}, later);
    EXPECT_EQ(census.coordinatorCount(later), 150);
    EXPECT_EQ(census.coordinatorCount(start + absl::Seconds(1)), 64);
}

TEST(HostCensus, CoordinatorsAreCountedByDataCentre)
{
    const auto hosts = std::vector<HostRecord>{record("1", 120), record("2", 200), record("3", 240), record("4", 120, "b")};
    auto all = std::vector<const HostRecord *>();
    for (const auto &host : hosts) {
        all.push_back(&host);
    }
    EXPECT_EQ(countCoordinators(all), 3);
    EXPECT_EQ(countCoordinators({}), 0);
}

// 300 hosts in three data centres exchange reports with the seeds and with a few other hosts each.
TEST(HostCensus, ThreeHundredHostsCountEachOtherWithinTenSeconds)
{
    constexpr auto count = std::size_t{300};
    auto random = base::Random(20261204);
    auto hosts = std::vector<std::unique_ptr<HostCensus>>();
    for (auto at = std::size_t{0}; at < count; ++at) {
        hosts.push_back(std::make_unique<HostCensus>(record(std::to_string(at), 120, std::to_string(at % 3)), CensusOptions{}, start));
    }
    auto now = start;
    for (auto round = 0; round < 10; ++round) {
        now += absl::Seconds(1);
        for (auto &host : hosts) {
            host->beginRound(now);
            const auto alive = host->alive(now);
            auto &seed = *hosts[random.below(2)];
            seed.applyReport(host->makeReport(10, true, random, now), now);
            host->applyReport(seed.makeReport(10, false, random, now), now);
            for (auto sent = 0; sent < 3 && !alive.empty(); ++sent) {
                hosts[std::stoul(alive[random.below(alive.size())].name)]->applyReport(host->makeReport(10, false, random, now), now);
            }
        }
    }
    for (const auto &host : hosts) {
        EXPECT_GE(host->quotaHostCount(now), count * 9 / 10);
        EXPECT_LE(host->quotaHostCount(now), count);
    }
}

TEST(HostCensus, UsesAGreaterReportedHostCountUntilItExpires)
{
    auto census = HostCensus(record("1"), {}, start);
    const auto later = start + absl::Seconds(10);
    census.applyReport({.records = {record("2")}, .known = 40}, later);
    EXPECT_EQ(census.quotaHostCount(later), 40);
    EXPECT_EQ(census.quotaHostCount(later + absl::Seconds(21)), 2);
}

TEST(CensusReport, SurvivesEncodingAndRejectsOtherBytes)
{
    const auto report = HostReport{
        .records = {record("1"), record("2", 500, "b")}, .known = 7, .wantsReply = true, .reach = {.outOfReach = {"b", "c"}, .asked = 2.5F, .served = 0.5F}};
    const auto datagram = encodeReport(report, start);
    EXPECT_EQ(decodeReport(datagram, start), report);
    EXPECT_EQ(decodeReport("hello", start), std::nullopt);
    EXPECT_EQ(decodeReport("", start), std::nullopt);
    for (auto size = std::size_t{0}; size < datagram.size(); ++size) {
        // The last bytes may be padding, so a datagram cut there still decodes to the same report.
        const auto cut = decodeReport(std::string_view(datagram).substr(0, size), start);
        EXPECT_TRUE(!cut.has_value() || *cut == report) << size;
    }
    const auto stated = RevisionStatement{.reader = 1U << 30U, .read = 7, .position = {.revision = 9}, .currentAt = start - absl::Milliseconds(300)};
    EXPECT_LE(encodeReport({.records = std::vector<HostRecord>(10, record("front-imereti-a-100")), .revision = stated}, start).size(), 1200);
    for (const auto &[asked, served] : std::vector<std::pair<float, float>>{{1.0F, 2.0F}, {-1.0F, -2.0F}, {NAN, NAN}, {INFINITY, 0.0F}}) {
        EXPECT_EQ(decodeReport(encodeReport({.records = {record("1")}, .reach = {.outOfReach = {"b"}, .asked = asked, .served = served}}, start), start),
                  std::nullopt);
    }
    EXPECT_EQ(decodeReport(encodeReport({.records = {record("1")}, .reach = {.outOfReach = std::vector<std::string>(100, "b")}}, start), start), std::nullopt);
}

// A report that needs two packets is lost twice as often; records of other hosts come with the next reports.
TEST(CensusReport, EvacuationsTakeThePlaceOfRecordsInADatagram)
{
    auto report = HostReport{.records = std::vector<HostRecord>(10, record("front-imereti-a-100"))};
    report.records.front() = record("sender");
    for (const auto *const dataCentre : {"imereti-a", "imereti-b", "imereti-c", "imereti-d", "imereti-e", "imereti-f", "imereti-g", "imereti-h"}) {
        report.evacuations.push_back({.dataCentre = dataCentre, .evacuated = true, .since = {.era = 1, .revision = 1U << 30U}});
    }
    const auto datagram = encodeWithin(1200, report, start);
    EXPECT_LE(datagram.size(), 1200);
    const auto decoded = decodeReport(datagram, start);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->evacuations, report.evacuations);
    EXPECT_EQ(decoded->records.front(), report.records.front());
    EXPECT_GE(decoded->records.size(), 3);
}

// Clocks of hosts differ: a datagram carries the age of a statement, and its own way counts as part of that age only if the receiver adds it.
TEST(CensusReport, CarriesTheAgeOfAStatementAboutTheStore)
{
    const auto report =
        HostReport{.records = {record("1")},
                   .revision = RevisionStatement{.reader = 5, .read = 7, .position = {.revision = 9}, .currentAt = start - absl::Milliseconds(300)}};
    EXPECT_EQ(decodeReport(encodeReport(report, start), start), report);
    const auto otherClock = start + absl::Hours(3);
    const auto received = decodeReport(encodeReport(report, start), otherClock);
    ASSERT_TRUE(received.has_value() && received->revision.has_value());
    EXPECT_EQ(received->revision->currentAt, otherClock - absl::Milliseconds(300));
}

TEST(HostCensus, HostsAgreeOnTheirOrder)
{
    const auto later = start + absl::Seconds(5);
    auto first = HostCensus(record("1"), {}, start);
    auto second = HostCensus(record("2"), {}, start);
    EXPECT_EQ(first.rank(start), std::nullopt);
    first.applyRecord(record("2"), later);
    second.applyRecord(record("1"), later);
    EXPECT_EQ(first.rank(later), 0);
    EXPECT_EQ(second.rank(later), 1);
    auto stopping = record("1");
    stopping.stopping = true;
    stopping.sequence = 2;
    second.applyRecord(stopping, later);
    EXPECT_EQ(second.rank(later), 0);
    first.announceStop();
    EXPECT_EQ(first.rank(later), std::nullopt);
}

TEST(HostCensus, AStatementGoesToHostsOfEachDataCentre)
{
    auto census = HostCensus(record("1"), {}, start);
    for (const auto &[name, dataCentre] :
         std::vector<std::pair<std::string, std::string>>{{"2", "a"}, {"3", "a"}, {"4", "b"}, {"5", "b"}, {"6", "b"}, {"7", "c"}}) {
        census.applyRecord(record(name, 120, dataCentre), start);
    }
    auto random = base::Random(1);
    EXPECT_EQ(census.planSpread(8, 2, random, start).size(), 2 + 2 + 1);
    EXPECT_EQ(census.planSpread(1, 0, random, start).size(), 1);
}

} // namespace
