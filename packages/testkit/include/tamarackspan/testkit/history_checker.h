#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// Parameters of the checks.
struct CheckerOptions
{
    /// How long a leaf may still receive new requests after it began to drain.
    absl::Duration drainingGrace = absl::Seconds(3);
    /// The allowed relative difference between the cost charged to a customer and the cost that the leafs measured.
    double costTolerance = 0.01;
    /// An answer with at least this many rows may be truncated, so that rows of covered shards may be absent; 0 means that answers are never truncated.
    std::uint32_t maxRows = 100;
};

/// One violation of a rule.
struct Violation
{
    std::string rule;
    /// What is wrong, with the records or members that show it.
    std::string evidence;

    friend auto operator==(const Violation &, const Violation &) -> bool = default;
};

/// How often a rule was checked and violated; a count of 0 checks means that the history has nothing that the rule applies to.
struct RuleCount
{
    std::string rule;
    std::uint64_t checkCount = 0;
    std::uint64_t violations = 0;

    friend auto operator==(const RuleCount &, const RuleCount &) -> bool = default;
};

/// The result of checkHistory().
struct CheckerReport
{
    std::vector<Violation> violations;
    std::vector<RuleCount> rules;

    friend auto operator==(const CheckerReport &, const CheckerReport &) -> bool = default;
};

/// Checks the histories of callers and leafs, mixed and in any order, against the rules in docs/TESTKIT.md. The report lists every rule, also those that were
/// never checked. A record that lacks a member violates the rule "well-formed".
[[nodiscard]] auto checkHistory(const std::vector<nlohmann::json> &records, const CheckerOptions &options) -> CheckerReport;

/// Returns the report as text, with one line for each rule and one for each violation.
[[nodiscard]] auto toString(const CheckerReport &report) -> std::string;

} // namespace tamarackspan::testkit
