#pragma once

namespace tamarackspan::admission {

struct AdmissionState;
struct Budget;
struct BudgetRequest;
struct BudgetGrant;
struct BudgetReturn;
struct BudgetStep;
struct LendingState;
struct TokenBucket;

} // namespace tamarackspan::admission
