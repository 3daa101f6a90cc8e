#pragma once

#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// The commands of tamarackspanctl.
enum class Command {
    None,
    Validate,
    Status,
    Explain,
    Audit,
    Drain,
    Costs,
};

/// The format in which answers are printed.
enum class OutputFormat {
    Table,
    Json,
    Csv,
};

/// The parsed arguments of the program.
struct CommandLine
{
    Command command = Command::None;
    /// Files and folders, or admin addresses.
    std::vector<std::string> operands;
    OutputFormat format = OutputFormat::Table;
    std::string customer;
    std::string service;
    std::string leaf;
    bool showHelp = false;
    bool showVersion = false;
    /// The error in the arguments; empty if there is none.
    std::string error;

    friend auto operator==(const CommandLine &, const CommandLine &) -> bool = default;
};

/// Parses the arguments of the program with getopt_long.
[[nodiscard]] auto readCommandLine(int argc, char **argv) -> CommandLine;

/// The text of --help.
[[nodiscard]] auto usageText() -> std::string;

} // namespace tamarackspan::ctl
