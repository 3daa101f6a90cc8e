#include "tamarackspan/metrics/prometheus.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace tamarackspan::metrics {

namespace {

auto escapeValue(const std::string &text) -> std::string
{
    return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

auto escapeHelp(const std::string &text) -> std::string
{
    return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\n", "\\n"}});
}

auto labelsText(const std::vector<Label> &labels, const std::string &upperBound = "") -> std::string
{
    auto text = std::string();
    for (const auto &label : labels) {
        absl::StrAppend(&text, text.empty() ? "" : ",", label.name, "=\"", escapeValue(label.value), "\"");
    }
    if (!upperBound.empty()) {
        absl::StrAppend(&text, text.empty() ? "" : ",", "le=\"", upperBound, "\"");
    }
    return text.empty() ? "" : absl::StrCat("{", text, "}");
}

/// Appends the HELP and TYPE lines before the first series of a metric. `last` holds the metric of the previous series.
auto appendHead(std::string &out, const MetricSnapshot &snapshot, const std::string &metric, const char *type, std::string &last) -> void
{
    if (metric == last) {
        return;
    }
    last = metric;
    if (const auto help = snapshot.help.find(metric); help != snapshot.help.end()) {
        absl::StrAppend(&out, "# HELP ", metric, " ", escapeHelp(help->second), "\n");
    }
    absl::StrAppend(&out, "# TYPE ", metric, " ", type, "\n");
}

auto seconds(absl::Duration duration) -> std::string
{
    return absl::StrFormat("%.6g", absl::ToDoubleSeconds(duration));
}

auto appendHistogram(std::string &out, const SeriesName &name, const LatencyHistogram &histogram) -> void
{
    auto below = std::uint64_t{0};
    for (auto bucket = std::size_t{0}; bucket < histogram.buckets(); ++bucket) {
        below += histogram.countIn(bucket);
        absl::StrAppend(&out, name.metric, "_bucket", labelsText(name.labels, seconds(histogram.upperBound(bucket))), " ", below, "\n");
    }
    absl::StrAppend(&out, name.metric, "_bucket", labelsText(name.labels, "+Inf"), " ", histogram.count(), "\n");
    absl::StrAppend(&out, name.metric, "_sum", labelsText(name.labels), " ", absl::StrFormat("%.9g", absl::ToDoubleSeconds(histogram.sum())), "\n");
    absl::StrAppend(&out, name.metric, "_count", labelsText(name.labels), " ", histogram.count(), "\n");
}

} // namespace

auto toPrometheus(const MetricSnapshot &snapshot) -> std::string
{
    auto out = std::string();
    auto last = std::string();
    for (const auto &[name, value] : snapshot.counters) {
        appendHead(out, snapshot, name.metric, "counter", last);
        absl::StrAppend(&out, name.metric, labelsText(name.labels), " ", value, "\n");
    }
    for (const auto &[name, value] : snapshot.gauges) {
        appendHead(out, snapshot, name.metric, "gauge", last);
        absl::StrAppend(&out, name.metric, labelsText(name.labels), " ", absl::StrFormat("%.9g", value), "\n");
    }
    for (const auto &[name, value] : snapshot.histograms) {
        appendHead(out, snapshot, name.metric, "histogram", last);
        appendHistogram(out, name, value);
    }
    return out;
}

} // namespace tamarackspan::metrics
