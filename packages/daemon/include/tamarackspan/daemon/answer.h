#pragma once

#include "tamarackspan/query/query_actions.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// One row of a leaf's answer.
struct Row
{
    double score = 0;
    std::string key;
    nlohmann::ordered_json content;
};

/// Reads the body of a leaf's answer. Returns nothing unless it is a JSON array of objects that each have a text "key" and a number "score".
[[nodiscard]] auto parseRows(const std::string &body) -> std::optional<std::vector<Row>>;

/// What an answer cost.
struct AnswerCost
{
    std::uint32_t leafRequests = 0;
    std::uint64_t leafMicros = 0;
};

/// Merges the rows of all covered shards, best score first and equal ones by key, keeps the first `maxRows`, and returns the answer as JSON.
[[nodiscard]] auto answerJson(const query::Finish &finish, std::vector<Row> rows, std::uint32_t maxRows, const AnswerCost &cost) -> std::string;

/// Returns the snapshot, coverage and cost of an answer, without its rows, as JSON.
[[nodiscard]] auto labelJson(const query::Finish &finish, const AnswerCost &cost) -> nlohmann::ordered_json;

} // namespace tamarackspan::daemon
