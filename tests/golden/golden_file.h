#pragma once

#include <string>

namespace tamarackspan::golden {

/// Returns where and how the two texts first differ, with the number of the line; empty if they are the same.
[[nodiscard]] auto firstDifference(const std::string &expected, const std::string &found) -> std::string;

/// Compares a transcript with the golden file of that name and notes a failure where they differ. With the environment variable UPDATE_GOLDEN=1 the file is
/// written instead.
auto expectGolden(const std::string &name, const std::string &transcript) -> void;

} // namespace tamarackspan::golden
