#pragma once

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <string>

namespace tamarackspan::gateway {

/// A fingerprint of the last report read from each leaf, so that a report that repeats it needn't be parsed again: leafs report about once a second, and nearly
/// all reports differ from the previous one in their sequence number only.
class ReportDeduplicator
{
public:
    /// Records what is stored under a key. Returns whether it differs from the last value; always true while each report counts.
    auto recordIfNew(const std::string &key, std::uint64_t fingerprint) -> bool;

    /// Sets whether each report counts as new. After the store has come back from an older copy, a report that repeats the one before shows that the leaf has
    /// written its entry since.
    auto setEveryReport(bool every) -> void;

    /// Forgets one key, so that its next value counts as new.
    auto forget(const std::string &key) -> void;

    /// Forgets everything.
    auto clear() -> void;

private:
    bool everyReport = false;
    absl::flat_hash_map<std::string, std::uint64_t> fingerprints;
};

} // namespace tamarackspan::gateway
