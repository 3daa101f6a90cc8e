#include "tamarackspan/gateway/report_memory.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::gateway;

TEST(ReportDeduplicator, ARepeatedReportIsNotNew)
{
    auto reports = ReportMemory();
    EXPECT_TRUE(reports.note("a", 1));
    EXPECT_FALSE(reports.note("a", 1));
    EXPECT_TRUE(reports.note("a", 2));
    EXPECT_TRUE(reports.note("b", 2));
}

TEST(ReportDeduplicator, AForgottenReportIsNewAgain)
{
    auto reports = ReportMemory();
    reports.note("a", 1);
    reports.note("b", 1);
    reports.forget("a");
    EXPECT_TRUE(reports.note("a", 1));
    EXPECT_FALSE(reports.note("b", 1));
    reports.clear();
    EXPECT_TRUE(reports.note("b", 1));
}

} // namespace
