#include "tamarackspan/costs/cost_archive.h"
#include "tamarackspan/costs/cost_summary.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>

namespace {

using namespace tamarackspan::costs;
using namespace tamarackspan;

auto key(std::uint32_t number) -> CostKey
{
    return {base::CustomerName(absl::StrCat("c", number)), base::OperationName("o")};
}

auto ledger(std::uint64_t incarnation) -> CostLedger
{
    return {base::Incarnation(incarnation), {}};
}

auto randomCharge() -> CostCounters
{
    const auto some = [] {
        return *rc::gen::inRange<std::uint64_t>(0, 100);
    };
    return {some(), some(), some(), some(), some(), some()};
}

auto totalMicros(const CostTable &table) -> std::uint64_t
{
    auto total = std::uint64_t{0};
    for (const auto &[row, counters] : table) {
        total += counters.leafMicros;
    }
    return total;
}

/// Hosts accumulate costs, report them to two archives over a network that repeats, delays and reorders reports, and are replaced; the sum must equal the
/// costs.
auto checkSum(bool takesMaximum) -> bool
{
    return rc::check("any order, with repeated and old reports", [takesMaximum] {
        auto truth = CostTable{};
        auto sent = std::vector<CostReport>{};
        auto ledgers = std::vector<CostLedger>{ledger(1), ledger(2), ledger(3)};
        for (auto i = std::uint64_t{10}; i < 30; ++i) {
            auto &spender = ledgers[*rc::gen::inRange<std::size_t>(0, 3)];
            const auto row = key(*rc::gen::inRange(0U, 3U));
            const auto spent = randomCharge();
            charge(spender, row, spent);
            truth[row] = sumOf(truth[row], spent);
            sent.push_back(reportOf(spender));
            if (*rc::gen::inRange(0, 5) == 0) {
                spender = ledger(i);
            }
        }
        auto archives = std::array<CostArchive, 2>{};
        archives[0].mergesByMaximum = archives[1].mergesByMaximum = takesMaximum;
        for (auto repeat = 0; repeat < 2; ++repeat) {
            for (auto i = sent.size(); i > 1; --i) {
                std::swap(sent[i - 1], sent[*rc::gen::inRange<std::size_t>(0, i)]);
            }
            for (const auto &report : sent) {
                mergeReport(archives[*rc::gen::inRange<std::size_t>(0, 2)], report, absl::UnixEpoch());
            }
        }
        for (const auto &report : sent) {
            mergeReport(archives[0], report, absl::UnixEpoch());
        }
        auto read = storedReports(archives[0], absl::UnixEpoch());
        for (const auto &report : storedReports(archives[1], absl::UnixEpoch())) {
            read.push_back(report);
            read.insert(read.begin(), report);
        }
        RC_ASSERT(summarize(read).table == truth);
    });
}

TEST(CostArchive, CountsEachCostOnceForReportsInAnyOrderAndReplacedHosts)
{
    EXPECT_TRUE(checkSum(true));
}

TEST(CostArchive, TheSumCheckFailsWhenReportsAreAddedUp)
{
    EXPECT_FALSE(checkSum(false));
}

TEST(CostArchive, AKilledHostLosesAtMostWhatItSpentSinceItsLastReport)
{
    EXPECT_TRUE(rc::check("kill at any time", [] {
        const auto interval = *rc::gen::inRange(1, 20);
        const auto killedAt = *rc::gen::inRange(1, 100);
        auto spender = ledger(1);
        auto archive = CostArchive{};
        auto spentInInterval = std::uint64_t{0};
        for (auto tick = 1; tick <= killedAt; ++tick) {
            const auto spent = randomCharge();
            charge(spender, key(0), spent);
            spentInInterval += spent.leafMicros;
            if (tick % interval == 0) {
                mergeReport(archive, reportOf(spender), absl::UnixEpoch() + absl::Seconds(tick));
                spentInInterval = 0;
            }
        }
        const auto read = summarize(storedReports(archive, absl::UnixEpoch())).table;
        RC_ASSERT(totalMicros(spender.table) - totalMicros(read) == spentInInterval);
    }));
}

TEST(CostArchive, RelayedReportsExpireByTheTimeWhenTheirIncarnationMadeThem)
{
    auto first = CostArchive{};
    auto second = CostArchive{};
    auto spender = ledger(1);
    charge(spender, key(0), {1, 1, 0, 0, 0, 5});
    mergeReport(first, reportOf(spender), absl::UnixEpoch());
    auto now = absl::UnixEpoch();
    for (auto hour = 1; hour <= 30; ++hour) {
        now += absl::Hours(1);
        for (const auto &report : storedReports(first, now)) {
            mergeReport(second, report, now);
        }
        for (const auto &report : storedReports(second, now)) {
            mergeReport(first, report, now);
        }
        expireReports(first, now);
        expireReports(second, now);
        EXPECT_EQ(first.reports.size() + second.reports.size(), hour < 24 ? 2U : 0U) << hour;
    }
    EXPECT_EQ(first.rows, 0U);
    EXPECT_EQ(first.forgotten, 0U);
}

TEST(CostArchive, IsBoundedAndCountsEvictedReports)
{
    auto archive = CostArchive{};
    archive.limits.rows = 10;
    archive.limits.rowsPerReport = 4;
    for (auto incarnation = 1U; incarnation <= 5; ++incarnation) {
        auto spender = ledger(incarnation);
        for (auto row = 0U; row < 6; ++row) {
            charge(spender, key(row), {1, 0, 0, 0, 0, 0});
        }
        mergeReport(archive, reportOf(spender), absl::UnixEpoch() + absl::Seconds(incarnation));
        ASSERT_LE(archive.rows, 10U);
    }
    EXPECT_EQ(archive.forgotten, 3U);
    EXPECT_EQ(archive.droppedRows, 10U);
    EXPECT_EQ(archive.reports.begin()->first, base::Incarnation(4));
}

TEST(CostArchive, EachReportIsRelayedToItsHoldersAlone)
{
    auto hosts = std::vector<base::HostId>{};
    for (auto i = 0; i < 10; ++i) {
        hosts.emplace_back(absl::StrCat("10.0.0.", i, ":1"));
    }
    auto archive = CostArchive{};
    for (auto incarnation = 1U; incarnation <= 50; ++incarnation) {
        mergeReport(archive, {base::Incarnation(incarnation), absl::ZeroDuration(), {{key(0), {}}}}, absl::UnixEpoch());
    }
    auto passed = std::size_t{0};
    for (const auto &host : hosts) {
        passed += reportsForHolder(archive, host, hosts, absl::UnixEpoch()).size();
    }
    EXPECT_EQ(passed, 50 * holdersPerIncarnation);
}

} // namespace
