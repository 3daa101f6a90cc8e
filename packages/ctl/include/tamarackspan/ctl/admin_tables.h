#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// Returns the title line and lines of cells in columns as wide as their widest cell, two spaces apart.
[[nodiscard]] auto toColumns(const std::vector<std::vector<std::string>> &lines) -> std::string;

/// Returns a table with a line for each answer of `GET /status`. InvalidArgument if one isn't a JSON object.
[[nodiscard]] auto statusTable(const std::vector<std::string> &answers) -> absl::StatusOr<std::string>;

/// Returns the answer of `GET /audit` with a line for each entry and one, indented, for each change and fault. InvalidArgument if it isn't one.
[[nodiscard]] auto auditTable(const std::string &answer) -> absl::StatusOr<std::string>;

/// Returns any JSON object as "key: value" lines, with the keys of nested objects joined by full stops and of lists numbered from 0. InvalidArgument if it
/// isn't one.
[[nodiscard]] auto flatText(const std::string &answer) -> absl::StatusOr<std::string>;

} // namespace tamarackspan::ctl
