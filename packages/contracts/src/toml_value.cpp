#include "tamarackspan/contracts/toml_value.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <optional>

#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#define TOML_ENABLE_WINDOWS_COMPAT 0
#define TOML_MAX_NESTED_VALUES 8
#include <toml++/toml.h>

namespace tamarackspan::contracts {

namespace {

constexpr std::size_t maxQuotedMessage = 200;

auto position(const toml::source_position &place, const std::string &path) -> base::SourcePosition
{
    return {path, static_cast<std::uint32_t>(place.line), static_cast<std::uint32_t>(place.column)};
}

auto convert(const toml::node &node) -> TomlValue;

auto convertArray(const toml::array &array) -> TomlValue::Array
{
    auto values = TomlValue::Array{};
    values.reserve(array.size());
    for (const auto &element : array) {
        values.push_back(convert(element));
    }
    return values;
}

auto convertTable(const toml::table &table) -> TomlValue::Table
{
    auto entries = TomlValue::Table{};
    entries.reserve(table.size());
    for (const auto &[key, node] : table) {
        entries.push_back({std::string(key.str()), convert(node)});
    }
    return entries;
}

auto convert(const toml::node &node) -> TomlValue
{
    auto value = TomlValue{};
    value.line = static_cast<std::uint32_t>(node.source().begin.line);
    value.column = static_cast<std::uint32_t>(node.source().begin.column);
    switch (node.type()) {
    case toml::node_type::string:
        value.content = node.as_string()->get();
        break;
    case toml::node_type::integer:
        value.content = node.as_integer()->get();
        break;
    case toml::node_type::floating_point:
        value.content = node.as_floating_point()->get();
        break;
    case toml::node_type::boolean:
        value.content = node.as_boolean()->get();
        break;
    case toml::node_type::array:
        value.content = convertArray(*node.as_array());
        break;
    case toml::node_type::table:
        value.content = convertTable(*node.as_table());
        break;
    default:
        value.content = TomlUnsupported{};
        break;
    }
    return value;
}

/// Returns an error at the first byte that must not reach the TOML library: a NUL byte, or the first full stop beyond maxDotsPerLine.
auto findHostileByte(std::string_view text, const std::string &path) -> std::optional<base::ConfigError>
{
    auto line = std::uint32_t{1};
    auto column = std::uint32_t{0};
    auto dots = std::size_t{0};
    for (const auto character : text) {
        ++column;
        if (character == '\0') {
            return base::ConfigError{{path, line, column}, "", "expected text, found a NUL byte"};
        }
        if (character == '\n') {
            ++line;
            column = 0;
            dots = 0;
        }
        if (character == '.' && ++dots > maxDotsPerLine) {
            return base::ConfigError{{path, line, column}, "", absl::StrCat("expected at most ", maxDotsPerLine, " full stops in one line")};
        }
    }
    return std::nullopt;
}

} // namespace

auto parseToml(std::string_view text, const std::string &path) -> base::Result<TomlValue, std::vector<base::ConfigError>>
{
    using Errors = std::vector<base::ConfigError>;
    if (text.size() > maxDocumentBytes) {
        return Errors{{{path, 0, 0}, "", absl::StrCat("expected at most ", maxDocumentBytes, " bytes, found ", text.size())}};
    }
    if (auto hostile = findHostileByte(text, path)) {
        return Errors{*std::move(hostile)};
    }
    const auto result = toml::parse(text);
    if (!result) {
        const auto &error = result.error();
        const auto message = std::string(error.description().substr(0, maxQuotedMessage));
        return Errors{{position(error.source().begin, path), "", absl::StrCat("expected TOML: ", message)}};
    }
    return TomlValue{1, 1, convertTable(result.table())};
}

auto quoteToml(std::string_view text) -> std::string
{
    auto quoted = std::string("\"");
    for (const auto character : text) {
        if (character == '"' || character == '\\') {
            quoted += {'\\', character};
        } else if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f) {
            absl::StrAppendFormat(&quoted, "\\u%04X", static_cast<unsigned>(character));
        } else {
            quoted.push_back(character);
        }
    }
    return quoted + "\"";
}

auto quoteTomlArray(const std::vector<std::string> &texts) -> std::string
{
    const auto appendQuoted = [](std::string *out, const std::string &text) {
        absl::StrAppend(out, quoteToml(text));
    };
    return absl::StrCat("[", absl::StrJoin(texts, ", ", appendQuoted), "]");
}

} // namespace tamarackspan::contracts
