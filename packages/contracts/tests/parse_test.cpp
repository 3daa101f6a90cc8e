#include "tamarackspan/contracts/parse.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace tamarackspan::contracts;
using tamarackspan::base::toString;

constexpr auto contractText = R"(customer = "agronomy-desk"
published_by = "nino"
[limits]
requests_per_second = 100
burst = 20
concurrency = 10
[data_centres]
a = 600
b = 400
[operations.lot-history]
service = "lots"
kind = "query"
priority = "urgent"
deadline_ms = 900
coverage_floor_permille = 990
below_floor = "refuse"
[operations.book]
service = "trays"
kind = "execute"
deadline_ms = 2000
)";

constexpr auto serviceText = R"(service = "lots"
data_centre = "a"
index_versions = [42, 41]
[leafs.l1]
address = "127.0.0.1"
port = 9001
slots = 2
connections = 25
[[shards]]
id = 0
replicas = ["l1"]
)";

template<typename T>
auto report(const tamarackspan::base::Result<T, ConfigErrors> &result) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    if (!result.ok()) {
        for (const auto &error : result.error()) {
            lines.push_back(toString(error));
        }
    }
    return lines;
}

/// Returns the text with the first occurrence of a part replaced.
auto edited(std::string text, const std::string &part, const std::string &by) -> std::string
{
    return text.replace(text.find(part), part.size(), by);
}

TEST(ParseContract, ReadsEveryKey)
{
    const auto result = parseContract(contractText, "c.toml");
    ASSERT_TRUE(result.ok()) << report(result).front();
    const auto &contract = result.value();
    EXPECT_EQ(contract.limits, (Limits{100, 20, 10}));
    EXPECT_EQ(contract.operations.size(), 2U);
    EXPECT_EQ(contract.operations.begin()->second.kind, OperationKind::Execute);
}

TEST(ParseContract, NamesEveryFaultWithItsPlaceInOrder)
{
    auto text = edited(contractText, "burst = 20", "burst = -1");
    text = edited(text, "a = 600", "a = 700");
    text = edited(text, "kind = \"query\"", "kind = \"search\"\ncolour = 3");
    text = edited(text, "coverage_floor_permille = 990", "coverage_floor_permille = 1001");
    const auto unknownKey = std::string("c.toml:13:10: operations.lot-history.colour: expected one of below_floor, coverage_floor_permille, deadline_ms, ")
        + "extra_load_permille, kind, max_rows, priority, service; found an unknown key";
    EXPECT_EQ(report(parseContract(text, "c.toml")),
              (std::vector<std::string>{
                  "c.toml:5:9: limits.burst: expected a whole number from 0 to 100000000, found the number -1",
                  "c.toml:7:1: data_centres: expected parts with a sum of at most 1000, found 1100",
                  "c.toml:12:8: operations.lot-history.kind: expected one of \"query\", \"execute\", found \"search\"",
                  unknownKey,
                  "c.toml:16:27: operations.lot-history.coverage_floor_permille: expected a whole number from 0 to 1000, found the number 1001",
              }));
}

TEST(ParseContract, TombstoneCarriesNothingElse)
{
    const auto result = parseContract("customer = \"gone\"\nremoved = true\n", "c.toml");
    ASSERT_TRUE(result.ok());
    EXPECT_TRUE(result.value().removed);
    EXPECT_FALSE(parseContract(edited(contractText, "published_by", "removed = true\npublished_by"), "c.toml").ok());
}

TEST(ParseContract, ExecuteTakesNoKeyOfAQuery)
{
    EXPECT_FALSE(parseContract(std::string(contractText) + "extra_load_permille = 10\n", "c.toml").ok());
}

TEST(ParseService, RejectsEachBrokenReferenceAndRange)
{
    ASSERT_TRUE(parseService(serviceText, "s.toml").ok());
    for (const auto &[part, by] : std::vector<std::pair<std::string, std::string>>{
             {"[\"l1\"]", "[\"l2\"]"},
             {"[\"l1\"]", "[\"l1\", \"l1\"]"},
             {"[\"l1\"]", "[]"},
             {"[\"l1\"]", "[\"l1\"]\n[[shards]]\nid = 0\nreplicas = [\"l1\"]"},
             {"[42, 41]", "[]"},
             {"[42, 41]", "[41, 42]"},
             {"[42, 41]", "[42, 42]"},
             {"127.0.0.1", "localhost"},
             {"127.0.0.1", "127.0.0.256"},
             {"9001", "0"},
             {"9001", "65536"},
             {"9001", "\"9001\""},
             {"slots = 2", "slots = 0"},
             {"id = 0", "id = 1979-05-27"},
             {"index_versions = [42, 41]", ""},
         }) {
        EXPECT_EQ(report(parseService(edited(serviceText, part, by), "s.toml")).size(), 1U) << part << " by " << by;
    }
}

TEST(ParseHostList, SortsAndRejectsRepeatedOrMalformedHosts)
{
    const auto text = std::string("data_centre = \"a\"\n[[hosts]]\nid = \"127.0.0.1:7102\"\n[[hosts]]\nid = \"127.0.0.1:7101\"\nleaving = true\n");
    const auto result = parseHostList(text, "h.toml");
    ASSERT_TRUE(result.ok());
    EXPECT_TRUE(result.value().hosts.front().leaving);
    EXPECT_FALSE(parseHostList(edited(text, "7102", "7101"), "h.toml").ok());
    EXPECT_FALSE(parseHostList(edited(text, "7102", "07102"), "h.toml").ok());
    EXPECT_FALSE(parseHostList(edited(text, "127.0.0.1:7102", "host-a:7102"), "h.toml").ok());
}

TEST(HostileToml, GivesErrorsAndNeverStopsTheProcess)
{
    const auto dotted = [](std::size_t depth) {
        auto key = std::string("a");
        for (auto i = std::size_t{0}; i < depth; ++i) {
            key += ".a";
        }
        return key;
    };
    auto nestedLines = std::string("x = [\n");
    for (auto i = 0; i < 8; ++i) {
        nestedLines += "{" + dotted(250) + " = [\n";
    }
    auto manyKeys = std::string("[data_centres]\n");
    for (auto i = 0; i < 70'000; ++i) {
        manyKeys += "k" + std::to_string(i) + " = []\n";
    }
    for (const auto &text : std::vector<std::string>{
             "",
             dotted(400'000) + " = 1",
             "[" + dotted(400'000) + "]",
             nestedLines,
             "x = " + std::string(500'000, '['),
             std::string(500'000, '{'),
             "customer = " + std::string(500, '9'),
             "customer = \"a\"\ncustomer = \"b\"",
             "customer = 1979-05-27T07:32:00Z",
             "customer = nan",
             std::string("customer = \"a\0b\"", 16),
             "customer = \"\xff\xfe\"",
             "customer = \"\\uD800\"",
             std::string(1024 * 1024 + 1, '#'),
             "[[limits]]\n[limits]",
             manyKeys,
             "limits = 3\noperations = []\ndata_centres = {\"\" = 1}",
         }) {
        EXPECT_FALSE(parseContract(text, "x").ok()) << text.substr(0, 60);
        EXPECT_FALSE(parseService(text, "x").ok()) << text.substr(0, 60);
        EXPECT_FALSE(parseHostList(text, "x").ok()) << text.substr(0, 60);
    }
}

} // namespace
