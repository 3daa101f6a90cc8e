#include "tamarackspan/gateway/report_deduplicator.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::gateway;

TEST(ReportDeduplicator, ARepeatedReportIsNotNew)
{
    auto reports = ReportDeduplicator();
    EXPECT_TRUE(reports.recordIfNew("a", 1));
    EXPECT_FALSE(reports.recordIfNew("a", 1));
    EXPECT_TRUE(reports.recordIfNew("a", 2));
    EXPECT_TRUE(reports.recordIfNew("b", 2));
}

TEST(ReportDeduplicator, AForgottenReportIsNewAgain)
{
    auto reports = ReportDeduplicator();
    reports.recordIfNew("a", 1);
    reports.recordIfNew("b", 1);
    reports.forget("a");
    EXPECT_TRUE(reports.recordIfNew("a", 1));
    EXPECT_FALSE(reports.recordIfNew("b", 1));
    reports.clear();
    EXPECT_TRUE(reports.recordIfNew("b", 1));
}

// Without them nothing shows that a leaf has written its entry since the store was restored.
TEST(ReportDeduplicator, LetsRepeatedReportsThroughWhileEachCounts)
{
    auto deduplicator = ReportDeduplicator();
    EXPECT_TRUE(deduplicator.recordIfNew("a", 1));
    deduplicator.setEveryReport(true);
    EXPECT_TRUE(deduplicator.recordIfNew("a", 1));
    deduplicator.setEveryReport(false);
    EXPECT_FALSE(deduplicator.recordIfNew("a", 1));
}

} // namespace
