#include "tamarackspan/costs/cost_summary.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace tamarackspan::costs {

namespace {

constexpr auto customerTitle = "customer";
constexpr auto operationTitle = "operation";

auto appendTableLine(std::string &out, std::size_t customerWidth, std::size_t operationWidth, const CostKey &key, const CostCounters &counters) -> void
{
    absl::StrAppendFormat(&out, "%-*s  %-*s  %12d  %12d  %9d  %9d  %9d  %15d\n", static_cast<int>(customerWidth), key.customer.get(),
                          static_cast<int>(operationWidth), key.operation.get(), counters.requests, counters.firstLeafRequests, counters.hedges,
                          counters.retries, counters.cancelled, counters.leafMicros);
}

auto totalOf(const CostTable &table) -> CostCounters
{
    auto total = CostCounters{};
    for (const auto &[key, counters] : table) {
        total = sumOf(total, counters);
    }
    return total;
}

auto quoteCsv(const std::string &text) -> std::string
{
    if (text.find_first_of("\",\r\n") == std::string::npos) {
        return text;
    }
    auto quoted = std::string("\"");
    for (const auto character : text) {
        quoted += character == '"' ? std::string("\"\"") : std::string(1, character);
    }
    return quoted + "\"";
}

} // namespace

auto summarize(const std::vector<CostReport> &reports) -> CostSummary
{
    auto greatest = std::map<base::Incarnation, CostTable>{};
    for (const auto &report : reports) {
        auto &table = greatest[report.incarnation];
        for (const auto &[key, counters] : report.table) {
            auto &held = table[key];
            held = maximumOf(held, counters);
        }
    }
    auto summary = CostSummary{};
    summary.incarnations = greatest.size();
    for (const auto &[incarnation, table] : greatest) {
        addTable(summary.table, table);
    }
    return summary;
}

auto toTable(const CostSummary &summary) -> std::string
{
    auto customerWidth = std::string(customerTitle).size();
    auto operationWidth = std::string(operationTitle).size();
    for (const auto &[key, counters] : summary.table) {
        customerWidth = std::max(customerWidth, key.customer.get().size());
        operationWidth = std::max(operationWidth, key.operation.get().size());
    }
    auto out = absl::StrFormat("%-*s  %-*s  %12s  %12s  %9s  %9s  %9s  %15s\n", static_cast<int>(customerWidth), customerTitle,
                               static_cast<int>(operationWidth), operationTitle, "requests", "leaf first", "hedges", "retries", "cancelled", "leaf micros");
    for (const auto &[key, counters] : summary.table) {
        appendTableLine(out, customerWidth, operationWidth, key, counters);
    }
    appendTableLine(out, customerWidth, operationWidth, {base::CustomerName("total"), base::OperationName()}, totalOf(summary.table));
    return out;
}

auto toJson(const CostSummary &summary) -> std::string
{
    auto json = nlohmann::ordered_json{{"incarnations", summary.incarnations}, {"costs", nlohmann::ordered_json::array()}};
    for (const auto &[key, counters] : summary.table) {
        json["costs"].push_back({{"customer", key.customer.get()},
                                 {"operation", key.operation.get()},
                                 {"requests", counters.requests},
                                 {"first_leaf_requests", counters.firstLeafRequests},
                                 {"hedges", counters.hedges},
                                 {"retries", counters.retries},
                                 {"cancelled", counters.cancelled},
                                 {"leaf_micros", counters.leafMicros}});
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

auto toCsv(const CostSummary &summary) -> std::string
{
    auto out = std::string("customer,operation,requests,first_leaf_requests,hedges,retries,cancelled,leaf_micros\r\n");
    for (const auto &[key, counters] : summary.table) {
        absl::StrAppend(&out, quoteCsv(key.customer.get()), ",", quoteCsv(key.operation.get()), ",", counters.requests, ",");
        absl::StrAppend(&out, counters.firstLeafRequests, ",", counters.hedges, ",", counters.retries, ",", counters.cancelled, ",", counters.leafMicros,
                        "\r\n");
    }
    return out;
}

} // namespace tamarackspan::costs
