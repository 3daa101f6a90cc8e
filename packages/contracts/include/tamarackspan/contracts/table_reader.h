#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/contracts/toml_value.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::contracts {

/// The whole numbers that a key accepts, both ends included.
struct NumberRange
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// The most errors that are reported for one text; further ones are dropped.
inline constexpr std::size_t maxReportedErrors = 1000;

/// The longest name of a customer, operation, service, data centre or leaf, in bytes.
inline constexpr std::size_t maxNameBytes = 64;

/// True for 1 to 64 letters, digits, '-', '_' and '.', the first a letter or digit.
[[nodiscard]] auto isName(std::string_view text) noexcept -> bool;

/// True for a numeric IPv4 or IPv6 address.
[[nodiscard]] auto isIpAddress(std::string_view text) -> bool;

/// True for "IPv4:port" or "[IPv6]:port" with a port from 1 to 65535 written without leading zeros.
[[nodiscard]] auto isEndpoint(std::string_view text) -> bool;

/// Reads the keys of one table and records each error with its position and dotted key. A read that fails returns the fallback or a default value, so that
/// reading continues and all errors of a text are found. The table and the list of errors must outlive the reader.
class TableReader
{
public:
    /// Reads `table`, which must hold a table. `key` is the table's own dotted key; empty for the root.
    TableReader(const TomlValue &table, std::string path, std::string key, std::vector<base::ConfigError> &errors);

    /// Returns the value of a key, or nullptr if the key is absent, and marks the key as known.
    [[nodiscard]] auto find(std::string_view key) -> const TomlValue *;

    /// Returns whether the key is present; doesn't mark it as known.
    [[nodiscard]] auto has(std::string_view key) const -> bool;

    /// Returns a whole number within the range; after an error the fallback, or else the low end of the range. Without a fallback the key is required.
    [[nodiscard]] auto number(std::string_view key, NumberRange range, std::optional<std::int64_t> fallback = std::nullopt) -> std::int64_t;

    /// Returns a string of at most `most` bytes; empty if the key is absent or after an error.
    [[nodiscard]] auto text(std::string_view key, std::size_t most) -> std::string;

    /// Returns a required name (isName).
    [[nodiscard]] auto name(std::string_view key) -> std::string;

    /// Returns a required IP address (isIpAddress).
    [[nodiscard]] auto address(std::string_view key) -> std::string;

    /// Returns a required endpoint (isEndpoint).
    [[nodiscard]] auto endpoint(std::string_view key) -> std::string;

    /// Returns the endpoints of an array; a repeated one is an error. Empty if the key is absent.
    [[nodiscard]] auto endpoints(std::string_view key) -> std::vector<std::string>;

    /// Returns a boolean; the fallback if the key is absent or after an error.
    [[nodiscard]] auto flag(std::string_view key, bool fallback) -> bool;

    /// Returns the index of the string among the choices; 0 after an error. Without a fallback the key is required.
    [[nodiscard]] auto choice(std::string_view key, std::initializer_list<std::string_view> choices, std::optional<std::size_t> fallback = std::nullopt)
        -> std::size_t;

    /// Returns the elements of an array, or nullptr after an error or if the key is absent. An absent key is an error if required.
    [[nodiscard]] auto array(std::string_view key, bool required) -> const TomlValue::Array *;

    /// Returns a reader of the table under a key, or nothing after an error or if the key is absent. An absent key is an error if required.
    [[nodiscard]] auto table(std::string_view key, bool required) -> std::optional<TableReader>;

    /// Returns a reader of any value, such as an element of an array, that must be a table; nothing after an error. `key` is the value's key within this table.
    [[nodiscard]] auto nested(const TomlValue &value, std::string_view key) -> std::optional<TableReader>;

    /// Returns the entries of this table and marks every key as known.
    [[nodiscard]] auto entries() -> const TomlValue::Table &;

    /// Records an error at a value.
    auto fail(const TomlValue &value, std::string_view key, std::string message) -> void;

    /// Records an error at a key of this table, or at the table itself if the key is absent.
    auto failKey(std::string_view key, std::string message) -> void;

    /// Records an error for each key that was not read.
    auto rejectUnknownKeys() -> void;

private:
    [[nodiscard]] auto fullKey(std::string_view key) const -> std::string;
    [[nodiscard]] auto findText(std::string_view key, std::string_view expected) -> const std::string *;
    [[nodiscard]] auto checkedText(std::string_view key, std::string_view expected, bool (*check)(std::string_view)) -> std::string;

    const TomlValue &self;
    std::string path;
    std::string prefix;
    std::vector<base::ConfigError> &errors;
    std::set<std::string, std::less<>> known;
};

/// Describes a value for the end of an error message, such as "the number 7" or "an array".
[[nodiscard]] auto describe(const TomlValue &value) -> std::string;

/// Sorts errors by their position in the text.
auto sortByPosition(std::vector<base::ConfigError> &errors) -> void;

} // namespace tamarackspan::contracts
