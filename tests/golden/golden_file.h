#pragma once

#include <string>

namespace tamarackspan::golden {

/// Returns where and how the two texts first differ, with the line number; empty if they are equal.
[[nodiscard]] auto firstDifference(const std::string &expected, const std::string &found) -> std::string;

/// Compares a transcript with the golden file of that name and records a test failure if they differ. With the environment variable UPDATE_GOLDEN=1, writes the
/// file instead.
auto expectGolden(const std::string &name, const std::string &transcript) -> void;

} // namespace tamarackspan::golden
