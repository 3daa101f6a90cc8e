#include "tamarackspan/ctl/admin_tables.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace tamarackspan::ctl {

namespace {

using Json = nlohmann::ordered_json;
using Cells = std::vector<std::string>;

auto cellOf(const Json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string("-") : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns the value at the path as a cell; "?" if there is none.
auto cellAt(const Json &object, const char *path) -> std::string
{
    const auto pointer = Json::json_pointer(path);
    return object.contains(pointer) ? cellOf(object.at(pointer)) : "?";
}

auto parseObject(const std::string &text) -> absl::StatusOr<Json>
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return absl::InvalidArgumentError("expected a JSON object as answer");
    }
    return json;
}

auto statusLine(const Json &status) -> Cells
{
    const auto listed = Json::json_pointer("/host_list/hosts");
    return {cellAt(status, "/host"),
            cellAt(status, "/data_centre"),
            cellAt(status, "/ready"),
            cellAt(status, "/draining"),
            cellAt(status, "/configuration/freshness"),
            cellAt(status, "/configuration/confirmed_ms_ago"),
            cellAt(status, "/configuration/documents"),
            cellAt(status, "/configuration/rejected"),
            cellAt(status, "/platform/calls"),
            cellAt(status, "/host_list/revision"),
            status.contains(listed) ? absl::StrCat(status.at(listed).size()) : "?",
            cellAt(status, "/control_links")};
}

auto flatten(const Json &value, const std::string &name, std::string &out) -> void
{
    if (!value.is_structured() || value.empty()) {
        absl::StrAppend(&out, name, ": ", cellOf(value), "\n");
        return;
    }
    auto index = 0;
    for (const auto &[key, member] : value.items()) {
        const auto part = value.is_array() ? absl::StrCat(index++) : key;
        flatten(member, name.empty() ? part : absl::StrCat(name, ".", part), out);
    }
}

auto appendDetails(const Json &entry, std::string &out) -> void
{
    for (const auto &change : entry.value("diff", Json::array())) {
        absl::StrAppend(&out, "    ", cellAt(change, "/key"), ": ", cellAt(change, "/before"), " -> ", cellAt(change, "/after"), "\n");
    }
    for (const auto &error : entry.value("errors", Json::array())) {
        absl::StrAppend(&out, "    ", cellOf(error), "\n");
    }
    if (const auto omitted = cellAt(entry, "/omitted"); omitted != "0") {
        absl::StrAppend(&out, "    further lines left out: ", omitted, "\n");
    }
}

} // namespace

auto toColumns(const std::vector<Cells> &lines) -> std::string
{
    auto widths = std::vector<std::size_t>();
    for (const auto &line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (auto i = std::size_t{0}; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    auto out = std::string();
    for (const auto &line : lines) {
        for (auto i = std::size_t{0}; i < line.size(); ++i) {
            const auto isLast = i + 1 == line.size();
            absl::StrAppend(&out, line[i], isLast ? std::string("\n") : std::string(widths[i] - line[i].size() + 2, ' '));
        }
    }
    return out;
}

auto statusTable(const std::vector<std::string> &answers) -> absl::StatusOr<std::string>
{
    auto lines = std::vector<Cells>{{"host", "data centre", "ready", "draining", "freshness", "confirmed ms ago", "documents", "rejected", "platform calls",
                                     "list revision", "listed hosts", "links"}};
    for (const auto &answer : answers) {
        const auto status = parseObject(answer);
        if (!status.ok()) {
            return status.status();
        }
        lines.push_back(statusLine(*status));
    }
    return toColumns(lines);
}

auto auditTable(const std::string &answer) -> absl::StatusOr<std::string>
{
    const auto audit = parseObject(answer);
    if (!audit.ok()) {
        return audit.status();
    }
    auto out = std::string();
    for (const auto &entry : audit->value("entries", Json::array())) {
        absl::StrAppend(&out, cellAt(entry, "/when"), "  ", cellAt(entry, "/decision"), "  ", cellAt(entry, "/key"), "  revision ", cellAt(entry, "/revision"));
        absl::StrAppend(&out, "  from ", cellAt(entry, "/source"), "  by ", cellAt(entry, "/published_by"), "\n");
        appendDetails(entry, out);
    }
    return absl::StrCat(out, "entries no longer kept: ", cellAt(*audit, "/dropped"), "\n");
}

auto flatText(const std::string &answer) -> absl::StatusOr<std::string>
{
    const auto json = parseObject(answer);
    if (!json.ok()) {
        return json.status();
    }
    auto out = std::string();
    flatten(*json, "", out);
    return out;
}

} // namespace tamarackspan::ctl
