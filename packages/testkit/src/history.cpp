#include "tamarackspan/testkit/history.h"

#include "tamarackspan/base/random.h"
#include "tamarackspan/base/require.h"

#include "absl/strings/str_cat.h"

#include <sstream>
#include <utility>

namespace tamarackspan::testkit {

using Json = nlohmann::json;

auto historyTime(absl::Time time) -> std::int64_t
{
    return absl::ToUnixMicros(time);
}

auto markerOf(const std::string &body) -> std::string
{
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("marker") && json["marker"].is_string()) {
        return json["marker"].get<std::string>();
    }
    return absl::StrCat("hash-", absl::Hex(base::stableHash(body.data(), body.size())));
}

History::History(HistoryStore store, std::string path)
    : store(store),
      path(std::move(path))
{
    if (store == HistoryStore::File) {
        this->file.open(this->path, std::ios::app);
        base::require(this->file.is_open(), "can't open the history file");
    }
}

auto History::append(const Json &record) -> void
{
    if (this->store == HistoryStore::File) {
        // Flushed after each record, so that the file of a killed process is complete.
        this->file << record.dump() << std::endl;
    } else if (this->store == HistoryStore::Memory) {
        absl::StrAppend(&this->inMemoryLines, record.dump(), "\n");
    }
}

auto History::lines(const std::string &leaf) const -> std::string
{
    const auto records = this->store == HistoryStore::File ? readHistory(this->path) : parseHistory(this->inMemoryLines);
    auto text = std::string();
    for (const auto &record : records) {
        if (leaf.empty() || record.value("leaf", "") == leaf) {
            absl::StrAppend(&text, record.dump(), "\n");
        }
    }
    return text;
}

auto parseHistory(const std::string &text) -> std::vector<Json>
{
    auto records = std::vector<Json>();
    auto begin = std::size_t{0};
    while (begin < text.size()) {
        const auto end = text.find('\n', begin);
        const auto line = text.substr(begin, end - begin);
        auto record = Json::parse(line, nullptr, false);
        if (end == std::string::npos && record.is_discarded()) {
            break;
        }
        base::require(record.is_object(), "a line of a history is not a JSON object");
        records.push_back(std::move(record));
        begin = end == std::string::npos ? text.size() : end + 1;
    }
    return records;
}

auto readHistory(const std::string &path) -> std::vector<Json>
{
    auto file = std::ifstream(path);
    auto text = std::ostringstream();
    if (file.is_open()) {
        text << file.rdbuf();
    }
    return parseHistory(text.str());
}

} // namespace tamarackspan::testkit
