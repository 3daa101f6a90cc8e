#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// Returns lines of cells, titles first, in columns that are as wide as their widest cell, two spaces apart.
[[nodiscard]] auto toColumns(const std::vector<std::vector<std::string>> &lines) -> std::string;

/// Returns a table with a line for each answer of `GET /status`. InvalidArgument if an answer isn't a JSON object.
[[nodiscard]] auto statusTable(const std::vector<std::string> &answers) -> absl::StatusOr<std::string>;

/// Returns the answer of `GET /audit` as a line for each entry, followed by an indented line for each of its changes and errors. InvalidArgument if the answer
/// isn't a JSON object.
[[nodiscard]] auto auditTable(const std::string &answer) -> absl::StatusOr<std::string>;

/// Returns a JSON object as "key: value" lines; keys of nested objects are joined by full stops, elements of lists are numbered from 0. InvalidArgument if the
/// answer isn't a JSON object.
[[nodiscard]] auto flatText(const std::string &answer) -> absl::StatusOr<std::string>;

} // namespace tamarackspan::ctl
