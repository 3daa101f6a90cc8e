#include "tamarackspan/ctl/command_line.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <getopt.h>
#include <string_view>

namespace tamarackspan::ctl {

namespace {

struct CommandName
{
    std::string_view name;
    Command command;
};

constexpr auto commandNames = std::array{
    CommandName{"validate", Command::Validate}, CommandName{"status", Command::Status}, CommandName{"explain", Command::Explain},
    CommandName{"audit", Command::Audit},       CommandName{"drain", Command::Drain},   CommandName{"costs", Command::Costs},
};

auto commandOf(std::string_view name) -> Command
{
    for (const auto &entry : commandNames) {
        if (entry.name == name) {
            return entry.command;
        }
    }
    return Command::None;
}

auto takesOneHost(Command command) -> bool
{
    return command == Command::Explain || command == Command::Audit || command == Command::Drain;
}

auto readOption(int letter, CommandLine &line) -> void
{
    switch (letter) {
    case 'c':
        line.customer = optarg;
        break;
    case 's':
        line.service = optarg;
        break;
    case 'l':
        line.leaf = optarg;
        break;
    case 'j':
        line.format = OutputFormat::Json;
        break;
    case 'C':
        line.format = OutputFormat::Csv;
        break;
    case 'h':
        line.showHelp = true;
        break;
    case 'V':
        line.showVersion = true;
        break;
    default:
        line.error = "unknown option or missing value";
    }
}

auto argumentError(const CommandLine &line) -> std::string
{
    if (line.command == Command::None) {
        return "expected one of the commands validate, status, explain, audit, drain and costs";
    }
    if (line.operands.empty()) {
        return line.command == Command::Validate ? "expected a file or folder" : "expected an admin address";
    }
    if (takesOneHost(line.command) && line.operands.size() != 1) {
        return "expected one admin address";
    }
    const auto asksForCustomer = !line.customer.empty();
    const auto asksForLeaf = !line.service.empty() && !line.leaf.empty();
    if (line.command == Command::Explain && asksForCustomer == asksForLeaf) {
        return "expected --customer NAME, or --service NAME and --leaf NAME";
    }
    if (line.format == OutputFormat::Csv && line.command != Command::Costs) {
        return "--csv is for costs alone";
    }
    return {};
}

} // namespace

auto readCommandLine(int argc, char **argv) -> CommandLine
{
    static constexpr auto options = std::array{
        option{"customer", required_argument, nullptr, 'c'},
        option{"service", required_argument, nullptr, 's'},
        option{"leaf", required_argument, nullptr, 'l'},
        option{"json", no_argument, nullptr, 'j'},
        option{"csv", no_argument, nullptr, 'C'},
        option{"help", no_argument, nullptr, 'h'},
        option{"version", no_argument, nullptr, 'V'},
        option{nullptr, 0, nullptr, 0},
    };
    auto line = CommandLine();
    for (auto letter = getopt_long(argc, argv, "c:s:l:jhV", options.data(), nullptr); letter >= 0;
         letter = getopt_long(argc, argv, "c:s:l:jhV", options.data(), nullptr)) {
        readOption(letter, line);
    }
    if (optind < argc) {
        line.command = commandOf(argv[optind]);
        line.operands.assign(argv + optind + 1, argv + argc);
    }
    if (line.error.empty()) {
        line.error = argumentError(line);
    }
    return line;
}

auto usageText() -> std::string
{
    return R"(Usage: tamarackspanctl validate FILE|FOLDER...
       tamarackspanctl status ADDRESS...
       tamarackspanctl explain --customer NAME ADDRESS
       tamarackspanctl explain --service NAME --leaf NAME ADDRESS
       tamarackspanctl audit ADDRESS
       tamarackspanctl drain ADDRESS
       tamarackspanctl costs ADDRESS...

Checks configuration, and asks hosts at their admin addresses (IP:PORT).

  validate   checks settings, contracts, services and host lists as a host would
  status     shows the state of each host
  explain    shows what follows from a contract, or who owns a leaf
  audit      shows what became of published documents
  drain      starts the planned stop of a host
  costs      adds up costs by customer and operation over all hosts given

  -c, --customer NAME   for explain
  -s, --service NAME    for explain
  -l, --leaf NAME       for explain
  -j, --json            prints JSON
      --csv             prints CSV, for costs
  -h, --help            shows this text
  -V, --version         shows the version

Exit codes: 0 good, 1 faults found or refused, 2 wrong usage, 3 a host or file can't be reached.
)";
}

} // namespace tamarackspan::ctl
