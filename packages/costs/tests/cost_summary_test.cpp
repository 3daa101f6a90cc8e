#include "tamarackspan/costs/cost_summary.h"

#include <gtest/gtest.h>

#include <limits>

namespace {

using namespace tamarackspan::costs;
using namespace tamarackspan;

auto summary() -> CostSummary
{
    return {{{{base::CustomerName("agronomy-desk"), base::OperationName("lot-history")}, {10, 200, 4, 1, 3, 5000}},
             {{base::CustomerName("b,\"x\""), base::OperationName("o")}, {1, 1, 0, 0, 0, 7}}},
            2};
}

TEST(CostSummary, TableHasATotal)
{
    EXPECT_EQ(toTable(summary()),
              "customer       operation        requests    leaf first     hedges    retries  cancelled      leaf micros\n"
              "agronomy-desk  lot-history            10           200          4          1          3             5000\n"
              "b,\"x\"          o                       1             1          0          0          0                7\n"
              "total                                 11           201          4          1          3             5007\n");
}

TEST(CostSummary, CsvIsQuoted)
{
    EXPECT_EQ(toCsv(summary()),
              "customer,operation,requests,first_leaf_requests,hedges,retries,cancelled,leaf_micros\r\n"
              "agronomy-desk,lot-history,10,200,4,1,3,5000\r\n"
              "\"b,\"\"x\"\"\",o,1,1,0,0,0,7\r\n");
}

TEST(CostSummary, JsonNamesEachCounter)
{
    auto one = summary();
    one.table.erase(std::prev(one.table.end()));
    EXPECT_EQ(toJson(one),
              "{\"incarnations\":2,\"costs\":[{\"customer\":\"agronomy-desk\",\"operation\":\"lot-history\",\"requests\":10,\"first_leaf_requests\":200,"
              "\"hedges\":4,\"retries\":1,\"cancelled\":3,\"leaf_micros\":5000}]}");
}

TEST(CostCounters, StayAtTheGreatestValue)
{
    const auto most = std::numeric_limits<std::uint64_t>::max();
    EXPECT_EQ(sumOf({most, 1, 0, 0, 0, most}, {1, 1, 0, 0, 0, most}), (CostCounters{most, 2, 0, 0, 0, most}));
}

} // namespace
