#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// Returns the microseconds of base::monotonicNow(), the time of all histories: comparable between the processes of one machine.
[[nodiscard]] auto historyTime(absl::Time time) -> std::int64_t;

/// Returns the marker that a leaf stand-in echoes in every row: the member "marker" of a JSON body, else a hash of the body.
[[nodiscard]] auto markerOf(const std::string &body) -> std::string;

/// Where a history is kept.
enum class HistoryStore {
    Memory,
    File,
    /// Nothing is kept, for benches.
    Nowhere,
};

/// What one process saw: JSON objects in the order of their end.
class History
{
public:
    /// The path is for a history in a file, which is appended to.
    explicit History(HistoryStore store, std::string path = {});

    /// Appends one record.
    auto append(const nlohmann::json &record) -> void;

    /// Returns the records kept whose member "leaf" is the given text, or all if it is empty, as JSON lines.
    [[nodiscard]] auto lines(const std::string &leaf) const -> std::string;

private:
    HistoryStore store;
    std::string path;
    std::ofstream file;
    std::string kept;
};

/// Reads JSON lines; stops the process at a line that isn't JSON, but for a last line without a newline, which a killed process leaves.
[[nodiscard]] auto parseHistory(const std::string &text) -> std::vector<nlohmann::json>;

/// Reads a file of JSON lines as parseHistory does; a missing file gives no records.
[[nodiscard]] auto readHistory(const std::string &path) -> std::vector<nlohmann::json>;

} // namespace tamarackspan::testkit
