#include "tamarackspan/ctl/admin_client.h"
#include "tamarackspan/ctl/admin_tables.h"
#include "tamarackspan/ctl/command_line.h"
#include "tamarackspan/ctl/cost_answers.h"
#include "tamarackspan/ctl/validate.h"

#include "tamarackspan/costs/cost_summary.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace tamarackspan;
using ctl::Command;
using ctl::CommandLine;
using ctl::OutputFormat;

namespace fs = std::filesystem;

/// The exit codes, as documented in docs/CTL.md.
enum class ExitCode {
    Good = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
};

auto printError(const std::string &text) -> void
{
    std::cerr << "tamarackspanctl: " << text << "\n";
}

auto worse(ExitCode a, ExitCode b) -> ExitCode
{
    return std::max(a, b);
}

/// Returns the path itself if it is a file, or the .toml files below a folder in the order of their paths. Nothing if the path can't be read.
auto listFiles(const std::string &path) -> std::optional<std::vector<std::string>>
{
    auto error = std::error_code();
    if (!fs::is_directory(path, error)) {
        return fs::exists(path, error) ? std::optional(std::vector<std::string>{path}) : std::nullopt;
    }
    auto files = std::vector<std::string>();
    for (auto entry = fs::recursive_directory_iterator(path, error); !error && entry != fs::recursive_directory_iterator(); entry.increment(error)) {
        if (entry->is_regular_file() && entry->path().extension() == ".toml") {
            files.push_back(entry->path().lexically_normal().string());
        }
    }
    std::sort(files.begin(), files.end());
    return error ? std::nullopt : std::optional(std::move(files));
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    auto file = std::ifstream(path, std::ios::binary);
    auto text = std::stringstream();
    text << file.rdbuf();
    return file && text ? std::optional(text.str()) : std::nullopt;
}

auto printValidation(const ctl::ValidationReport &report, OutputFormat format) -> void
{
    if (format == OutputFormat::Json) {
        auto errors = nlohmann::ordered_json::array();
        for (const auto &error : report.errors) {
            errors.push_back({{"path", error.position.path},
                              {"line", error.position.line},
                              {"column", error.position.column},
                              {"key", error.key},
                              {"message", error.message}});
        }
        const auto json = nlohmann::ordered_json{{"settings", report.settings},
                                                 {"contracts", report.contracts},
                                                 {"services", report.services},
                                                 {"host_lists", report.hostLists},
                                                 {"errors", std::move(errors)}};
        std::cout << json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << "\n";
        return;
    }
    for (const auto &error : report.errors) {
        std::cout << base::toString(error) << "\n";
    }
    std::cout << "settings: " << report.settings << ", contracts: " << report.contracts << ", services: " << report.services
              << ", host lists: " << report.hostLists << ", faults: " << report.errors.size() << "\n";
}

auto runValidate(const CommandLine &line) -> ExitCode
{
    auto texts = std::vector<ctl::NamedText>();
    auto crossCheck = ctl::CrossCheck::Off;
    auto code = ExitCode::Good;
    for (const auto &operand : line.operands) {
        const auto files = listFiles(operand);
        if (!files) {
            printError(operand + ": can't be read");
            code = ExitCode::Unreachable;
            continue;
        }
        if (fs::is_directory(operand)) {
            crossCheck = ctl::CrossCheck::On;
        }
        for (const auto &file : *files) {
            if (auto text = readFile(file)) {
                texts.push_back({file, std::move(*text)});
            } else {
                printError(file + ": can't be read");
                code = ExitCode::Unreachable;
            }
        }
    }
    if (texts.empty() && code == ExitCode::Good) {
        printError("no .toml file found");
        return ExitCode::Refused;
    }
    const auto report = ctl::validate(texts, crossCheck);
    printValidation(report, line.format);
    return worse(code, report.errors.empty() ? ExitCode::Good : ExitCode::Refused);
}

/// Sends a request to one host; prints the reason if no answer arrived.
auto ask(const std::string &address, const std::string &method, const std::string &path) -> std::optional<ctl::AdminAnswer>
{
    auto answer = ctl::sendAdminRequest(address, method, path);
    if (!answer.ok()) {
        printError(absl::StrCat(address, ": ", std::string(answer.status().message())));
        return std::nullopt;
    }
    return std::move(*answer);
}

auto isSuccess(const ctl::AdminAnswer &answer) -> bool
{
    return answer.status >= 200 && answer.status < 300;
}

auto printErrorStatus(const std::string &address, const ctl::AdminAnswer &answer) -> void
{
    printError(absl::StrCat(address, ": status ", answer.status, ": ", answer.body));
}

auto print(const absl::StatusOr<std::string> &text) -> ExitCode
{
    if (!text.ok()) {
        printError(std::string(text.status().message()));
        return ExitCode::Refused;
    }
    std::cout << *text;
    return ExitCode::Good;
}

auto runStatus(const CommandLine &line) -> ExitCode
{
    auto answers = std::vector<std::string>();
    auto code = ExitCode::Good;
    for (const auto &address : line.operands) {
        const auto answer = ask(address, "GET", "/status");
        if (!answer) {
            code = ExitCode::Unreachable;
        } else if (!isSuccess(*answer)) {
            printErrorStatus(address, *answer);
            code = worse(code, ExitCode::Refused);
        } else {
            answers.push_back(answer->body);
        }
    }
    if (line.format == OutputFormat::Table) {
        return answers.empty() ? code : worse(code, print(ctl::statusTable(answers)));
    }
    auto list = nlohmann::ordered_json::array();
    for (const auto &answer : answers) {
        list.push_back(nlohmann::ordered_json::parse(answer, nullptr, false));
    }
    std::cout << list.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << "\n";
    return code;
}

auto explainPath(const CommandLine &line) -> std::string
{
    if (!line.customer.empty()) {
        return "/explain?customer=" + ctl::percentEncode(line.customer);
    }
    return absl::StrCat("/explain?service=", ctl::percentEncode(line.service), "&leaf=", ctl::percentEncode(line.leaf));
}

auto runOnOneHost(const CommandLine &line, const std::string &method, const std::string &path) -> ExitCode
{
    const auto &address = line.operands.front();
    const auto answer = ask(address, method, path);
    if (!answer) {
        return ExitCode::Unreachable;
    }
    if (!isSuccess(*answer)) {
        printErrorStatus(address, *answer);
        return ExitCode::Refused;
    }
    if (line.format == OutputFormat::Json) {
        std::cout << answer->body;
        return ExitCode::Good;
    }
    return print(line.command == Command::Audit ? ctl::auditTable(answer->body) : ctl::flatText(answer->body));
}

auto runCosts(const CommandLine &line) -> ExitCode
{
    auto reports = std::vector<costs::CostReport>();
    auto code = ExitCode::Good;
    for (const auto &address : line.operands) {
        const auto answer = ask(address, "GET", "/costs");
        if (!answer) {
            code = ExitCode::Unreachable;
            continue;
        }
        auto read =
            isSuccess(*answer) ? ctl::parseCostAnswer(answer->body) : absl::StatusOr<std::vector<costs::CostReport>>(absl::UnavailableError(answer->body));
        if (!read.ok()) {
            printError(absl::StrCat(address, ": status ", answer->status, ": ", std::string(read.status().message())));
            code = worse(code, ExitCode::Refused);
            continue;
        }
        reports.insert(reports.end(), read->begin(), read->end());
    }
    if (reports.empty()) {
        return code;
    }
    const auto summary = costs::summarize(reports);
    switch (line.format) {
    case OutputFormat::Table:
        std::cout << costs::toTable(summary);
        break;
    case OutputFormat::Json:
        std::cout << costs::toJson(summary) << "\n";
        break;
    case OutputFormat::Csv:
        std::cout << costs::toCsv(summary);
        break;
    }
    return code;
}

auto run(int argc, char **argv) -> ExitCode
{
    const auto line = ctl::readCommandLine(argc, argv);
    if (line.showHelp) {
        std::cout << ctl::usageText();
        return ExitCode::Good;
    }
    if (line.showVersion) {
        std::cout << "tamarackspanctl " << TAMARACKSPAN_VERSION << "\n";
        return ExitCode::Good;
    }
    if (!line.error.empty()) {
        printError(line.error + "; see --help");
        return ExitCode::Usage;
    }
    switch (line.command) {
    case Command::Validate:
        return runValidate(line);
    case Command::Status:
        return runStatus(line);
    case Command::Explain:
        return runOnOneHost(line, "GET", explainPath(line));
    case Command::Audit:
        return runOnOneHost(line, "GET", "/audit");
    case Command::Drain:
        return runOnOneHost(line, "POST", "/drain");
    case Command::Costs:
        return runCosts(line);
    case Command::None:
        break;
    }
    return ExitCode::Usage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    return static_cast<int>(run(argc, argv));
}
