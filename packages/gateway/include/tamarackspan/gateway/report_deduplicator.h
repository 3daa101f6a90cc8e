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
    /// Records what is stored under a key. Returns whether it differs from the last value.
    auto recordIfNew(const std::string &key, std::uint64_t fingerprint) -> bool;

    /// Forgets one key, so that its next value counts as new.
    auto forget(const std::string &key) -> void;

    /// Forgets everything.
    auto clear() -> void;

private:
    absl::flat_hash_map<std::string, std::uint64_t> fingerprints;
};

} // namespace tamarackspan::gateway
