#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One call as the caller observed it.
struct CallRecord
{
    std::string customer;
    std::string operation;
    bool execute = false;
    std::string marker;
    std::string ticket;
    std::string address;
    /// When the request was due by the arrival process; latency is measured from here.
    absl::Time due;
    absl::Time started;
    absl::Time ended;
    /// HTTP status; 0 if there was no reply.
    std::uint32_t status = 0;
    /// "run", "not-run" or "may-have-run".
    std::string run;
    /// Why the call has no answer; empty if it has one.
    std::string reason;
    /// JSON body of the answer.
    nlohmann::json answer;

    friend auto operator==(const CallRecord &, const CallRecord &) -> bool = default;
};

/// Totals of the calls for one customer and operation.
struct LoadSummary
{
    std::string customer;
    std::string operation;
    std::uint64_t calls = 0;
    std::uint64_t answers = 0;
    std::vector<absl::Duration> latencies;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t leafRequests = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::uint32_t, std::uint64_t> statuses;

    friend auto operator==(const LoadSummary &, const LoadSummary &) -> bool = default;
};

/// Returns the call as a record of the callers' history.
[[nodiscard]] auto historyRecord(const CallRecord &call, const std::string &caller) -> nlohmann::json;

/// Adds the call to the summary. Latencies are recorded for answers only.
auto addCall(LoadSummary &summary, const CallRecord &call) -> void;

/// Returns the smallest latency that at least the given fraction of the answers doesn't exceed (nearest rank); zero if there are none.
[[nodiscard]] auto quantile(std::vector<absl::Duration> latencies, double part) -> absl::Duration;

/// Returns a table with one line for each summary, followed by one line for each reason of refusal.
[[nodiscard]] auto summaryTable(const std::vector<LoadSummary> &summaries) -> std::string;

/// Returns the same figures as JSON.
[[nodiscard]] auto summaryJson(const std::vector<LoadSummary> &summaries) -> nlohmann::json;

/// Returns the header line of the CSV file, which has one line for each call.
[[nodiscard]] auto csvHeader() -> std::string;

/// Returns the call as a CSV line.
[[nodiscard]] auto csvLine(const CallRecord &call) -> std::string;

} // namespace tamarackspan::testkit
