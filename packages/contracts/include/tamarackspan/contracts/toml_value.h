#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarackspan::contracts {

/// The longest text that is parsed, in bytes: the longest value that the platform stores under one key.
inline constexpr std::size_t maxDocumentBytes = 1'048'576;

/// The most full stops in one line of a text. Bounds how deep a dotted key can nest tables.
inline constexpr std::size_t maxDotsPerLine = 256;

struct TomlEntry;

/// A date, a time or another type of value that no document of the system uses.
struct TomlUnsupported
{
    friend auto operator==(const TomlUnsupported &, const TomlUnsupported &) -> bool = default;
};

/// A value parsed from TOML, with its position.
struct TomlValue
{
    using Array = std::vector<TomlValue>;
    /// In ascending order of the key, without repeated keys.
    using Table = std::vector<TomlEntry>;

    /// Counted from 1; 0 if the value was given on the command line.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::variant<std::string, std::int64_t, double, bool, TomlUnsupported, Array, Table> content;
};

/// A key of a table with its value.
struct TomlEntry
{
    std::string key;
    TomlValue value;
};

/// Parses TOML; the result is a table. Any input is safe: invalid UTF-8, control characters, repeated keys, texts that are too long or too deeply nested, and
/// anything else that isn't TOML are returned as errors. `path` names the text in errors.
[[nodiscard]] auto parseToml(std::string_view text, const std::string &path) -> base::Result<TomlValue, std::vector<base::ConfigError>>;

/// Returns the text as a quoted TOML string.
[[nodiscard]] auto quoteToml(std::string_view text) -> std::string;

/// Returns a TOML array of quoted strings, on one line.
[[nodiscard]] auto quoteTomlArray(const std::vector<std::string> &texts) -> std::string;

} // namespace tamarackspan::contracts
