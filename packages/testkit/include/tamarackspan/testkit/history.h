#pragma once

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// Converts a time from base::monotonicNow() to microseconds, the time unit of all histories; comparable between the processes of one machine.
[[nodiscard]] auto historyTime(absl::Time time) -> std::int64_t;

/// Returns the marker that a leaf stand-in echoes in every row: the member "marker" of a JSON body, otherwise a hash of the body.
[[nodiscard]] auto markerOf(const std::string &body) -> std::string;

/// Where the records of a history are stored.
enum class HistoryStore {
    Memory,
    File,
    /// Records are discarded, for benchmarks.
    Discard,
};

/// The events that one process observed, as JSON objects ordered by the time at which they ended.
class History
{
public:
    /// The path is used with HistoryStore::File only; records are appended to the file.
    explicit History(HistoryStore store, std::string path = {});

    /// Appends one record.
    auto append(const nlohmann::json &record) -> void;

    /// Returns the stored records whose member "leaf" equals the given text, or all records if it is empty, as JSON lines.
    [[nodiscard]] auto lines(const std::string &leaf) const -> std::string;

private:
    HistoryStore store;
    std::string path;
    std::ofstream file;
    std::string inMemoryLines;
};

/// Parses JSON lines. Terminates the process at an invalid line, except that an invalid last line without a newline is ignored: a killed process may leave one.
[[nodiscard]] auto parseHistory(const std::string &text) -> std::vector<nlohmann::json>;

/// Reads a file of JSON lines like parseHistory(); a missing file gives no records.
[[nodiscard]] auto readHistory(const std::string &path) -> std::vector<nlohmann::json>;

} // namespace tamarackspan::testkit
