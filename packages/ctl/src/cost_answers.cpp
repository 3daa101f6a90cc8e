#include "tamarackspan/ctl/cost_answers.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace tamarackspan::ctl {

namespace {

using Json = nlohmann::json;

auto textOf(const Json &object, const char *key) -> std::optional<std::string>
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

auto countOf(const Json &object, const char *key) -> std::optional<std::uint64_t>
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_number_unsigned() ? std::optional(found->get<std::uint64_t>()) : std::nullopt;
}

auto expected(std::size_t report, const std::string &what) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("reports[", report, "]: expected ", what));
}

/// Adds a row to the report. Returns what was expected if a member is missing or wrong; nothing on success.
auto addRow(const Json &row, costs::CostReport &report) -> std::optional<std::string>
{
    const auto customer = textOf(row, "customer");
    const auto operation = textOf(row, "operation");
    if (!customer || !operation) {
        return "rows with \"customer\" and \"operation\" as texts";
    }
    auto counters = costs::CostCounters();
    const auto members = {std::pair{"requests", &counters.requests},   std::pair{"first_leaf_requests", &counters.firstLeafRequests},
                          std::pair{"hedges", &counters.hedges},       std::pair{"retries", &counters.retries},
                          std::pair{"cancelled", &counters.cancelled}, std::pair{"leaf_micros", &counters.leafMicros}};
    for (const auto &[name, counter] : members) {
        const auto count = countOf(row, name);
        if (!count) {
            return name;
        }
        *counter = *count;
    }
    auto &held = report.table[{base::CustomerName(*customer), base::OperationName(*operation)}];
    held = costs::maximumOf(held, counters);
    return std::nullopt;
}

auto parseReport(const Json &json, std::size_t index) -> absl::StatusOr<costs::CostReport>
{
    auto report = costs::CostReport();
    auto incarnation = std::uint64_t{0};
    const auto hex = textOf(json, "incarnation");
    if (!hex || !absl::SimpleHexAtoi(*hex, &incarnation)) {
        return expected(index, "\"incarnation\" in hex");
    }
    report.incarnation = base::Incarnation(incarnation);
    const auto age = countOf(json, "age_ms");
    if (!age) {
        return expected(index, "\"age_ms\" as a whole number");
    }
    report.age = absl::Milliseconds(static_cast<std::int64_t>(*age));
    const auto rows = json.find("rows");
    if (rows == json.end() || !rows->is_array()) {
        return expected(index, "\"rows\" as a list");
    }
    for (const auto &row : *rows) {
        if (const auto missing = addRow(row, report)) {
            return expected(index, *missing);
        }
    }
    return report;
}

} // namespace

auto parseCostAnswer(const std::string &body) -> absl::StatusOr<std::vector<costs::CostReport>>
{
    const auto json = Json::parse(body, nullptr, false);
    const auto list = json.is_object() ? json.find("reports") : json.end();
    if (list == json.end() || !list->is_array()) {
        return absl::InvalidArgumentError("expected an object with the list \"reports\"");
    }
    auto reports = std::vector<costs::CostReport>();
    for (const auto &entry : *list) {
        auto report = parseReport(entry, reports.size());
        if (!report.ok()) {
            return report.status();
        }
        reports.push_back(std::move(*report));
    }
    return reports;
}

} // namespace tamarackspan::ctl
