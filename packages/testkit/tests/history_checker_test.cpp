#include "tamarackspan/testkit/history_checker.h"

#include "gtest/gtest.h"

namespace tamarackspan::testkit {
namespace {

using Json = nlohmann::json;

auto run(const std::string &marker, std::uint32_t shard) -> Json
{
    return Json{
        {"type", "leaf"}, {"leaf", "a"},      {"kind", "query"}, {"ticket", ""},    {"customer", "c"},       {"shard", shard},        {"version", 42},
        {"map", 7},       {"marker", marker}, {"arrived", 1000}, {"started", 1000}, {"ended", 2000},         {"outcome", "complete"}, {"ran", true},
        {"cost", 1000},   {"rows", 1},        {"slots", 1},      {"slots_cap", 2},  {"connections_peak", 1}, {"connections_cap", 25}, {"violation", ""}};
}

auto row(const std::string &marker, std::uint32_t shard) -> Json
{
    return Json{{"key", "s" + std::to_string(shard)}, {"score", 1}, {"shard", shard}, {"version", 42}, {"map", 7}, {"marker", marker}};
}

/// A query over two shards with a complete answer.
auto query() -> Json
{
    const auto answer = Json{{"snapshot", {{"index_version", 42}, {"map_generation", 7}}},
                             {"coverage", {{"shards", 2}, {"covered", 2}, {"missing", Json::array()}}},
                             {"rows", {row("m", 0), row("m", 1)}}};
    return Json{{"type", "call"}, {"kind", "query"}, {"marker", "m"}, {"ticket", ""},    {"started", 900},
                {"ended", 2100},  {"status", 200},   {"run", "run"},  {"answer", answer}};
}

/// A history without violations.
auto validHistory() -> std::vector<Json>
{
    auto booking = run("b", 0);
    booking.update({{"kind", "execute"}, {"ticket", "t"}, {"outcome", "executed"}});
    const auto execute =
        Json{{"type", "call"}, {"kind", "execute"},          {"marker", "b"}, {"ticket", "t"}, {"started", 900}, {"ended", 2100}, {"status", 200},
             {"run", "run"},   {"answer", {{"marker", "b"}}}};
    const auto refused =
        Json{{"type", "call"}, {"kind", "query"}, {"marker", "r"}, {"ticket", ""}, {"started", 900}, {"ended", 950}, {"status", 429}, {"run", "not-run"}};
    return {query(),
            run("m", 0),
            run("m", 1),
            execute,
            booking,
            refused,
            Json{{"type", "leaving"}, {"leaf", "a"}, {"at", 500}},
            Json{{"type", "charge"}, {"customer", "c"}, {"micros", 3000}}};
}

/// Indices of the records in validHistory().
enum Place { Query, RunOfShard0, RunOfShard1, Execute, Booking, Refused, Leaving, Charge };

/// Returns the rules that the history breaks.
auto brokenRules(const std::vector<Json> &history) -> std::set<std::string>
{
    auto rules = std::set<std::string>();
    for (const auto &violation : checkHistory(history, {}).violations) {
        rules.insert(violation.rule);
    }
    return rules;
}

using Rules = std::set<std::string>;

TEST(HistoryCheckerTest, ChecksEveryRuleOnAValidHistory)
{
    const auto report = checkHistory(validHistory(), {});
    EXPECT_TRUE(report.violations.empty()) << toString(report);
    for (const auto &rule : report.rules) {
        EXPECT_GT(rule.checkCount, 0) << rule.rule;
    }
    EXPECT_EQ(checkHistory({}, {}).rules.front().checkCount, 0);
}

TEST(HistoryCheckerTest, FindsMixedSnapshots)
{
    auto history = validHistory();
    history[Query]["answer"]["rows"][1]["version"] = 41;
    EXPECT_EQ(brokenRules(history), Rules{"one-snapshot"});
    history = validHistory();
    history[Query]["answer"]["rows"][1]["map"] = 6;
    EXPECT_EQ(brokenRules(history), Rules{"one-snapshot"});
}

TEST(HistoryCheckerTest, FindsUntrueCoverage)
{
    auto history = validHistory();
    history[RunOfShard1]["outcome"] = "partial";
    EXPECT_EQ(brokenRules(history), Rules{"true-coverage"});
    history = validHistory();
    history[RunOfShard1]["version"] = 41;
    EXPECT_EQ(brokenRules(history), Rules{"true-coverage"});
    history = validHistory();
    history[Query]["answer"]["rows"][1]["partial"] = true;
    EXPECT_EQ(brokenRules(history), Rules{"true-coverage"});
    history = validHistory();
    history[Query]["answer"]["coverage"]["missing"] = {1};
    EXPECT_EQ(brokenRules(history), Rules{"true-coverage"});
    history = validHistory();
    history[Query]["answer"]["coverage"]["covered"] = 1;
    EXPECT_EQ(brokenRules(history), Rules{"true-coverage"});
}

TEST(HistoryCheckerTest, FindsIncompleteForeignAndDuplicateAnswers)
{
    auto history = validHistory();
    history[RunOfShard1]["rows"] = 2;
    EXPECT_EQ(brokenRules(history), Rules{"whole-answer"});
    history = validHistory();
    history[Query]["answer"]["rows"][0]["marker"] = "other";
    EXPECT_EQ(brokenRules(history), Rules{"own-answer"});
    history = validHistory();
    history[Execute]["answer"]["marker"] = "other";
    EXPECT_EQ(brokenRules(history), Rules{"own-answer"});
    history = validHistory();
    history[Query]["answer"]["rows"][1] = history[Query]["answer"]["rows"][0];
    EXPECT_EQ(brokenRules(history), (Rules{"no-duplicates", "whole-answer"}));
}

TEST(HistoryCheckerTest, FindsRunsOfRequestsReportedAsNotRun)
{
    auto history = validHistory();
    auto ran = run("r", 0);
    history.push_back(ran);
    history[Charge]["micros"] = 4000;
    EXPECT_EQ(brokenRules(history), Rules{"not-run"});
    auto retry = history[Refused];
    retry["run"] = "may-have-run";
    history.push_back(retry);
    EXPECT_EQ(brokenRules(history), Rules{}) << "another call with the same marker accounts for the run";
    history.back()["started"] = 1001;
    EXPECT_EQ(brokenRules(history), Rules{"not-run"});
}

TEST(HistoryCheckerTest, FindsASecondRunOfATicket)
{
    auto history = validHistory();
    history.push_back(history[Booking]);
    history[Charge]["micros"] = 4000;
    EXPECT_EQ(brokenRules(history), Rules{"at-most-once"});
}

TEST(HistoryCheckerTest, FindsRequestsToADrainingLeaf)
{
    auto history = validHistory();
    history[RunOfShard0]["arrived"] = 3000500;
    EXPECT_EQ(brokenRules(history), Rules{});
    history[RunOfShard0]["arrived"] = 3000501;
    EXPECT_EQ(brokenRules(history), Rules{"leaving-leaf"});
    history.push_back({{"type", "returning"}, {"leaf", "a"}, {"at", 600}});
    EXPECT_EQ(brokenRules(history), Rules{});
}

TEST(HistoryCheckerTest, FindsCapsThatAreExceeded)
{
    auto history = validHistory();
    history[Booking]["slots"] = 3;
    EXPECT_EQ(brokenRules(history), Rules{"slot-cap"});
    history = validHistory();
    history[Booking]["violation"] = "slots";
    EXPECT_EQ(brokenRules(history), Rules{"slot-cap"});
    history = validHistory();
    history[Booking]["connections_peak"] = 26;
    EXPECT_EQ(brokenRules(history), Rules{"connection-cap"});
}

TEST(HistoryCheckerTest, FindsCostsThatDoNotAddUp)
{
    auto history = validHistory();
    history[Charge]["micros"] = 3030;
    EXPECT_EQ(brokenRules(history), Rules{});
    history[Charge]["micros"] = 3031;
    EXPECT_EQ(brokenRules(history), Rules{"cost-conservation"});
    history[Charge] = {{"type", "charge"}, {"customer", "d"}, {"micros", 3000}};
    EXPECT_EQ(brokenRules(history), Rules{"cost-conservation"});
}

TEST(HistoryCheckerTest, FindsRecordsThatAreNotWellFormed)
{
    auto history = validHistory();
    history[Refused].erase("run");
    EXPECT_EQ(brokenRules(history), Rules{"well-formed"});
    history = validHistory();
    history[Leaving]["type"] = "gone";
    EXPECT_EQ(brokenRules(history), Rules{"well-formed"});
    history = validHistory();
    history[Query]["run"] = "";
    EXPECT_EQ(brokenRules(history), Rules{"well-formed"});
}

} // namespace
} // namespace tamarackspan::testkit
