#include "tamarackspan/ctl/admin_client.h"
#include "tamarackspan/ctl/admin_tables.h"
#include "tamarackspan/ctl/cost_answers.h"

#include "tamarackspan/costs/cost_summary.h"

#include <gtest/gtest.h>

namespace tamarackspan::ctl {

namespace {

constexpr auto older = R"({"reports":[{"incarnation":"a1","age_ms":900,"rows":[{"customer":"c","operation":"o","requests":3,"first_leaf_requests":6,)"
                       R"("hedges":1,"retries":0,"cancelled":1,"leaf_micros":70}]}]})";
constexpr auto newer = R"({"reports":[{"incarnation":"a1","age_ms":0,"rows":[{"customer":"c","operation":"o","requests":5,"first_leaf_requests":10,)"
                       R"("hedges":1,"retries":0,"cancelled":1,"leaf_micros":90}]},{"incarnation":"b2","age_ms":1,"rows":[{"customer":"c","operation":"o",)"
                       R"("requests":2,"first_leaf_requests":4,"hedges":0,"retries":1,"cancelled":0,"leaf_micros":10}]}]})";

TEST(CostAnswers, OldReportsOfAnIncarnationAreCountedOnce)
{
    auto reports = parseCostAnswer(older).value();
    const auto later = parseCostAnswer(newer).value();
    reports.insert(reports.end(), later.begin(), later.end());
    const auto summary = costs::summarize(reports);
    EXPECT_EQ(summary.incarnations, 2U);
    const auto &sum = summary.table.at({base::CustomerName("c"), base::OperationName("o")});
    EXPECT_EQ(sum, (costs::CostCounters{7, 14, 1, 1, 1, 100}));
}

TEST(CostAnswers, AnAnswerThatLacksAnythingIsAnErrorThatNamesIt)
{
    EXPECT_EQ(parseCostAnswer("nonsense").status().message(), "expected an object with the list \"reports\"");
    EXPECT_EQ(parseCostAnswer(R"({"reports":[{"incarnation":"xyz"}]})").status().message(), "reports[0]: expected \"incarnation\" in hex");
    EXPECT_EQ(parseCostAnswer(R"({"reports":[{"incarnation":"a"}]})").status().message(), "reports[0]: expected \"age_ms\" as a whole number");
    EXPECT_EQ(parseCostAnswer(R"({"reports":[{"incarnation":"a","age_ms":1}]})").status().message(), "reports[0]: expected \"rows\" as a list");
    EXPECT_EQ(parseCostAnswer(R"({"reports":[{"incarnation":"a","age_ms":1,"rows":[{"customer":"c","operation":"o"}]}]})").status().message(),
              "reports[0]: expected requests");
}

TEST(AdminTables, ColumnsAreAsWideAsTheirWidestCell)
{
    EXPECT_EQ(toColumns({{"a", "bb"}, {"ccc", "d"}}), "a    bb\nccc  d\n");
    EXPECT_FALSE(statusTable({"[]"}).ok());
}

TEST(AdminTables, NestedMembersAreNamedByTheirPath)
{
    EXPECT_EQ(flatText(R"({"a":{"b":1,"c":null},"d":[{"e":"f"}],"g":[]})").value(), "a.b: 1\na.c: -\nd.0.e: f\ng: []\n");
    EXPECT_FALSE(flatText("{").ok());
}

TEST(AdminTables, AuditShowsChangesAndFaults)
{
    const auto text = auditTable(R"({"dropped":2,"entries":[{"when":"T","key":"contracts/c","revision":7,"decision":"accepted","source":"peer",)"
                                 R"("published_by":"n","diff":[{"key":"limits.burst","before":"1","after":"2"}],"errors":["e"],"omitted":3}]})");
    EXPECT_EQ(
        text.value(),
        "T  accepted  contracts/c  revision 7  from peer  by n\n    limits.burst: 1 -> 2\n    e\n    further lines left out: 3\nentries no longer kept: 2\n");
}

TEST(AdminClient, ArgumentsAreEscaped)
{
    EXPECT_EQ(percentEncode("a-b c&d=%"), "a-b%20c%26d%3D%25");
    EXPECT_EQ(sendAdminRequest("localhost", "GET", "/status").status().code(), absl::StatusCode::kInvalidArgument);
}

} // namespace

} // namespace tamarackspan::ctl
