#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// What the checker assumes.
struct CheckerOptions
{
    /// How long after its leaving a leaf may still get new work.
    absl::Duration leavingGrace = absl::Seconds(3);
    /// The allowed difference between cost charged and cost measured.
    double costTolerance = 0.01;
    /// Answers with as many rows may lack some of a covered shard; 0 means that no answer is cut.
    std::uint32_t maxRows = 100;
};

/// One promise that a history breaks.
struct Violation
{
    std::string rule;
    /// What is wrong, with the members that show it.
    std::string evidence;

    friend auto operator==(const Violation &, const Violation &) -> bool = default;
};

/// How often a rule could be judged: 0 means that the history says nothing about it.
struct RuleCount
{
    std::string rule;
    std::uint64_t judged = 0;
    std::uint64_t violations = 0;

    friend auto operator==(const RuleCount &, const RuleCount &) -> bool = default;
};

/// The outcome of a check.
struct CheckerReport
{
    std::vector<Violation> violations;
    std::vector<RuleCount> rules;

    friend auto operator==(const CheckerReport &, const CheckerReport &) -> bool = default;
};

/// Judges the histories of callers and leafs, in any order and mixed, by the rules in docs/TESTKIT.md. Every rule is in the report, also one that had nothing
/// to judge. A record that lacks a member is a violation of the rule "well-formed".
[[nodiscard]] auto checkHistory(const std::vector<nlohmann::json> &records, const CheckerOptions &options) -> CheckerReport;

/// Returns the report as text: a line for each rule and one for each violation.
[[nodiscard]] auto toString(const CheckerReport &report) -> std::string;

} // namespace tamarackspan::testkit
