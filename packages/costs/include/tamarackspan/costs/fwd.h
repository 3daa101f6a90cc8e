#pragma once

namespace tamarackspan::costs {

struct CostArchive;
struct CostCounters;
struct CostKey;
struct CostLedger;
struct CostReport;
struct CostSummary;

} // namespace tamarackspan::costs
