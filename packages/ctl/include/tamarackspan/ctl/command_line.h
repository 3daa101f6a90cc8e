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

/// How answers are printed.
enum class OutputForm {
    Table,
    Json,
    Csv,
};

/// What the caller of the program asked for.
struct CommandLine
{
    Command command = Command::None;
    /// Files and folders, or admin addresses.
    std::vector<std::string> operands;
    OutputForm form = OutputForm::Table;
    std::string customer;
    std::string service;
    std::string leaf;
    bool showHelp = false;
    bool showVersion = false;
    /// What is wrong with the arguments; empty if nothing is.
    std::string fault;

    friend auto operator==(const CommandLine &, const CommandLine &) -> bool = default;
};

/// Reads the arguments of the program by getopt_long.
[[nodiscard]] auto readCommandLine(int argc, char **argv) -> CommandLine;

/// The text of --help.
[[nodiscard]] auto usageText() -> std::string;

} // namespace tamarackspan::ctl
