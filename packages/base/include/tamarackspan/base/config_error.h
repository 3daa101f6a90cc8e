#pragma once

#include <cstdint>
#include <string>

namespace tamarackspan::base {

/// A place in a text: path as given by the reader of the text, line and column from 1; 0 where unknown.
struct SourcePosition
{
    std::string path;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    friend auto operator==(const SourcePosition &, const SourcePosition &) -> bool = default;
};

/// What is wrong with one place of a settings file or published document.
struct ConfigError
{
    SourcePosition position;
    /// The dotted key, such as "limits.burst"; empty if the text doesn't parse.
    std::string key;
    /// What was expected and what was found.
    std::string message;

    friend auto operator==(const ConfigError &, const ConfigError &) -> bool = default;
};

/// Returns "path:line:column: key: message", leaving out what is unknown.
[[nodiscard]] auto toString(const ConfigError &error) -> std::string;

} // namespace tamarackspan::base
