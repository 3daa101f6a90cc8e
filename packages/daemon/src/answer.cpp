#include "tamarackspan/daemon/answer.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::daemon {

namespace {

auto isBetter(const Row &a, const Row &b) -> bool
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

/// Parsing and serialising recurse; deeper nesting would use up a thread's stack.
constexpr auto maxNesting = std::uint32_t{64};

/// True if arrays and objects are nested no deeper than maxNesting. Brackets in strings don't count.
auto isNestedWithinLimit(const std::string &body) -> bool
{
    auto depth = std::uint32_t{0};
    auto inText = false;
    for (auto at = std::size_t{0}; at < body.size(); ++at) {
        const auto letter = body[at];
        if (inText) {
            at += letter == '\\' ? 1 : 0;
            inText = letter != '"';
        } else if (letter == '"') {
            inText = true;
        } else if (letter == '[' || letter == '{') {
            if (++depth > maxNesting) {
                return false;
            }
        } else if (letter == ']' || letter == '}') {
            depth -= depth > 0 ? 1 : 0;
        }
    }
    return true;
}

auto isRow(const nlohmann::ordered_json &value) -> bool
{
    if (!value.is_object()) {
        return false;
    }
    const auto key = value.find("key");
    const auto score = value.find("score");
    return key != value.end() && key->is_string() && score != value.end() && score->is_number();
}

} // namespace

auto parseRows(const std::string &body) -> std::optional<std::vector<Row>>
{
    if (!isNestedWithinLimit(body)) {
        return std::nullopt;
    }
    auto parsed = nlohmann::ordered_json::parse(body, nullptr, false);
    if (!parsed.is_array() || !std::all_of(parsed.begin(), parsed.end(), isRow)) {
        return std::nullopt;
    }
    auto rows = std::vector<Row>();
    rows.reserve(parsed.size());
    for (auto &value : parsed) {
        rows.push_back({value["score"].get<double>(), value["key"].get<std::string>(), std::move(value)});
    }
    return rows;
}

auto labelJson(const query::Finish &finish, const AnswerCost &cost) -> nlohmann::ordered_json
{
    auto missing = nlohmann::ordered_json::array();
    for (const auto &shard : finish.missing) {
        missing.push_back(shard.get());
    }
    auto label = nlohmann::ordered_json();
    label["snapshot"] = {{"index_version", finish.pin.indexVersion.get()}, {"map_generation", finish.pin.mapGeneration.get()}};
    label["coverage"] = {{"shards", finish.shardsTotal}, {"covered", finish.shardsTotal - finish.missing.size()}, {"missing", std::move(missing)}};
    label["cost"] = {{"leaf_requests", cost.leafRequests}, {"leaf_micros", cost.leafMicros}};
    return label;
}

auto answerJson(const query::Finish &finish, std::vector<Row> rows, std::uint32_t maxRows, const AnswerCost &cost) -> std::string
{
    const auto kept = std::min<std::size_t>(rows.size(), maxRows);
    std::partial_sort(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(kept), rows.end(), isBetter);
    auto answer = labelJson(finish, cost);
    auto list = nlohmann::ordered_json::array();
    for (auto i = std::size_t{0}; i < kept; ++i) {
        list.push_back(std::move(rows[i].content));
    }
    answer["rows"] = std::move(list);
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace tamarackspan::daemon
