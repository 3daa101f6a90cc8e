#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One request as its caller saw it.
struct CallRecord
{
    std::string customer;
    std::string operation;
    bool execute = false;
    std::string marker;
    std::string ticket;
    std::string address;
    /// When it was due by the arrival process; its latency counts from here.
    absl::Time due;
    absl::Time started;
    absl::Time ended;
    /// 0 if there was no reply.
    std::uint32_t status = 0;
    /// "run", "not-run" or "may-have-run".
    std::string run;
    /// Why there is no answer; empty if there is one.
    std::string reason;
    /// The JSON body of an answer.
    nlohmann::json answer;

    friend auto operator==(const CallRecord &, const CallRecord &) -> bool = default;
};

/// What was sent and what came back, for one customer and operation.
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

/// Returns the record as a line of the callers' history.
[[nodiscard]] auto historyRecord(const CallRecord &call, const std::string &caller) -> nlohmann::json;

/// Counts the call in. Only answers have a latency.
auto addCall(LoadSummary &summary, const CallRecord &call) -> void;

/// Returns the latency that the given part of the answers doesn't exceed (nearest rank); zero if there are none.
[[nodiscard]] auto quantile(std::vector<absl::Duration> latencies, double part) -> absl::Duration;

/// Returns a table with a line for each summary, then one line for each reason of refusal.
[[nodiscard]] auto summaryTable(const std::vector<LoadSummary> &summaries) -> std::string;

/// Returns the figures of the table as JSON.
[[nodiscard]] auto summaryJson(const std::vector<LoadSummary> &summaries) -> nlohmann::json;

/// Returns the header of the CSV file with one line for each call.
[[nodiscard]] auto csvHeader() -> std::string;

/// Returns the call as a line of CSV.
[[nodiscard]] auto csvLine(const CallRecord &call) -> std::string;

} // namespace tamarackspan::testkit
