#pragma once

#include <cstdint>
#include <string>

namespace tamarackspan::base {

/// A position in a text: the path that was given to the parser, line and column counted from 1; 0 if unknown.
struct SourcePosition
{
    std::string path;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    friend auto operator==(const SourcePosition &, const SourcePosition &) -> bool = default;
};

/// An error at one position of a settings file or published document.
struct ConfigError
{
    SourcePosition position;
    /// The dotted key, such as "limits.burst"; empty if the text can't be parsed.
    std::string key;
    /// What was expected and what was found.
    std::string message;

    friend auto operator==(const ConfigError &, const ConfigError &) -> bool = default;
};

/// Returns "path:line:column: key: message" without the unknown parts.
[[nodiscard]] auto toString(const ConfigError &error) -> std::string;

} // namespace tamarackspan::base
