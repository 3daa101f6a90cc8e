#include "tamarackspan/testkit/load_report.h"

#include "tamarackspan/testkit/history.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto okStatus = 200U;

auto percentOf(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// Leaf requests beyond one per shard, in percent.
auto extraLoad(const LoadSummary &summary) -> double
{
    return summary.shards == 0 ? 0 : percentOf(summary.leafRequests, summary.shards) - 100;
}

auto labelNumber(const CallRecord &call, const char *object, const char *member) -> std::uint64_t
{
    const auto pointer = Json::json_pointer(absl::StrCat("/", object, "/", member));
    return call.answer.contains(pointer) && call.answer.at(pointer).is_number() ? call.answer.at(pointer).get<std::uint64_t>() : 0;
}

auto millisOf(const LoadSummary &summary, double part) -> double
{
    return absl::ToDoubleMilliseconds(quantile(summary.latencies, part));
}

} // namespace

auto historyRecord(const CallRecord &call, const std::string &caller) -> Json
{
    return Json{{"type", "call"},
                {"caller", caller},
                {"kind", call.execute ? "execute" : "query"},
                {"customer", call.customer},
                {"operation", call.operation},
                {"marker", call.marker},
                {"ticket", call.ticket},
                {"address", call.address},
                {"started", historyTime(call.started)},
                {"ended", historyTime(call.ended)},
                {"status", call.status},
                {"run", call.run},
                {"reason", call.reason},
                {"answer", call.answer}};
}

auto addCall(LoadSummary &summary, const CallRecord &call) -> void
{
    ++summary.calls;
    ++summary.statuses[call.status];
    if (call.status != okStatus) {
        ++summary.refusals[absl::StrCat(call.reason, " (", call.run, ")")];
        return;
    }
    ++summary.answers;
    summary.latencies.push_back(call.ended - call.due);
    summary.shards += labelNumber(call, "coverage", "shards");
    summary.covered += labelNumber(call, "coverage", "covered");
    summary.leafRequests += labelNumber(call, "cost", "leaf_requests");
}

auto quantile(std::vector<absl::Duration> latencies, double part) -> absl::Duration
{
    if (latencies.empty()) {
        return absl::ZeroDuration();
    }
    const auto rank = static_cast<std::size_t>(std::max(1.0, std::ceil(part * static_cast<double>(latencies.size()))));
    const auto place = latencies.begin() + static_cast<std::ptrdiff_t>(std::min(rank, latencies.size()) - 1);
    std::nth_element(latencies.begin(), place, latencies.end());
    return *place;
}

auto summaryTable(const std::vector<LoadSummary> &summaries) -> std::string
{
    auto text = absl::StrFormat("%-40s %9s %9s %9s %9s %9s %9s %9s\n", "customer/operation", "calls", "answers", "p50 ms", "p99 ms", "p99.9 ms", "covered %",
                                "extra %");
    for (const auto &summary : summaries) {
        absl::StrAppendFormat(&text, "%-40s %9d %9d %9.2f %9.2f %9.2f %9.3f %9.2f\n", absl::StrCat(summary.customer, "/", summary.operation), summary.calls,
                              summary.answers, millisOf(summary, 0.5), millisOf(summary, 0.99), millisOf(summary, 0.999),
                              percentOf(summary.covered, summary.shards), extraLoad(summary));
    }
    for (const auto &summary : summaries) {
        for (const auto &[reason, count] : summary.refusals) {
            absl::StrAppendFormat(&text, "  %s/%s refused: %s: %d\n", summary.customer, summary.operation, reason, count);
        }
    }
    return text;
}

auto summaryJson(const std::vector<LoadSummary> &summaries) -> Json
{
    auto list = Json::array();
    for (const auto &summary : summaries) {
        auto statuses = Json::object();
        for (const auto &[status, count] : summary.statuses) {
            statuses[absl::StrCat(status)] = count;
        }
        list.push_back(Json{{"customer", summary.customer},
                            {"operation", summary.operation},
                            {"calls", summary.calls},
                            {"answers", summary.answers},
                            {"p50_ms", millisOf(summary, 0.5)},
                            {"p99_ms", millisOf(summary, 0.99)},
                            {"p999_ms", millisOf(summary, 0.999)},
                            {"shards", summary.shards},
                            {"covered", summary.covered},
                            {"leaf_requests", summary.leafRequests},
                            {"refusals", summary.refusals},
                            {"statuses", std::move(statuses)}});
    }
    return list;
}

auto csvHeader() -> std::string
{
    return "due_us,started_us,ended_us,customer,operation,kind,address,status,run,reason,shards,covered,leaf_requests\n";
}

auto csvLine(const CallRecord &call) -> std::string
{
    return absl::StrCat(historyTime(call.due), ",", historyTime(call.started), ",", historyTime(call.ended), ",", call.customer, ",", call.operation, ",",
                        call.execute ? "execute" : "query", ",", call.address, ",", call.status, ",", call.run, ",\"", call.reason, "\",",
                        labelNumber(call, "coverage", "shards"), ",", labelNumber(call, "coverage", "covered"), ",", labelNumber(call, "cost", "leaf_requests"),
                        "\n");
}

} // namespace tamarackspan::testkit
