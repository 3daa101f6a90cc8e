#include "tamarackspan/configuration/host_settings.h"
#include "tamarackspan/daemon/daemon.h"
#include "tamarackspan/logging/logger.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace {

using namespace tamarackspan;

/// The exit codes of docs/SETTINGS.md.
enum class ExitCode {
    Success = 0,
    Usage = 2,
    BadSettings = 3,
    CannotServe = 4,
};

constexpr auto usage = R"(Usage: tamarackspand --settings FILE [--set TABLE.KEY=VALUE]... [--check]

Runs one host of the query tier.

  -s, --settings FILE       host settings in TOML
  -o, --set TABLE.KEY=VALUE replaces one setting; may be given more than once
  -c, --check               checks the settings and ends
  -h, --help                shows this text
  -V, --version             shows the version

Exit codes: 0 stopped as planned or settings are good, 2 wrong usage, 3 bad settings, 4 an address can't be served.
SIGTERM and SIGINT stop the host as planned.
)";

struct CommandLine
{
    std::string settingsFile;
    std::vector<std::string> overrides;
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
    bool isBad = false;
};

auto readCommandLine(int argc, char **argv) -> CommandLine
{
    static constexpr auto options = std::array{
        option{"settings", required_argument, nullptr, 's'}, option{"set", required_argument, nullptr, 'o'}, option{"check", no_argument, nullptr, 'c'},
        option{"help", no_argument, nullptr, 'h'},           option{"version", no_argument, nullptr, 'V'},   option{nullptr, 0, nullptr, 0},
    };
    auto line = CommandLine();
    for (;;) {
        const auto letter = getopt_long(argc, argv, "s:o:chV", options.data(), nullptr);
        if (letter < 0) {
            break;
        }
        switch (letter) {
        case 's':
            line.settingsFile = optarg;
            break;
        case 'o':
            line.overrides.emplace_back(optarg);
            break;
        case 'c':
            line.checkOnly = true;
            break;
        case 'h':
            line.showHelp = true;
            break;
        case 'V':
            line.showVersion = true;
            break;
        default:
            line.isBad = true;
        }
    }
    line.isBad = line.isBad || optind < argc;
    return line;
}

auto levelOf(configuration::LogLevel level) -> logging::Level
{
    switch (level) {
    case configuration::LogLevel::Debug:
        return logging::Level::Debug;
    case configuration::LogLevel::Info:
        return logging::Level::Info;
    case configuration::LogLevel::Warning:
        return logging::Level::Warning;
    case configuration::LogLevel::Error:
        return logging::Level::Error;
    }
    return logging::Level::Info;
}

auto blockedSignals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

auto runHost(const configuration::HostSettings &settings) -> ExitCode
{
    const auto format = settings.log.format == configuration::LogFormat::Json ? logging::Format::Json : logging::Format::Text;
    logging::configureLogging({levelOf(settings.log.level), format, settings.log.file});
    std::signal(SIGPIPE, SIG_IGN);
    const auto signals = blockedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto host = daemon::Daemon::start(settings, [] {
        kill(getpid(), SIGTERM);
    });
    if (!host.ok()) {
        std::cerr << "tamarackspand: " << std::string(host.status().message()) << "\n";
        return ExitCode::CannotServe;
    }
    auto signal = 0;
    sigwait(&signals, &signal);
    (*host)->stop();
    return ExitCode::Success;
}

auto run(int argc, char **argv) -> ExitCode
{
    const auto line = readCommandLine(argc, argv);
    if (line.showHelp) {
        std::cout << usage;
        return ExitCode::Success;
    }
    if (line.showVersion) {
        std::cout << "tamarackspand " << TAMARACKSPAN_VERSION << "\n";
        return ExitCode::Success;
    }
    if (line.isBad || line.settingsFile.empty()) {
        std::cerr << usage;
        return ExitCode::Usage;
    }
    auto file = std::ifstream(line.settingsFile, std::ios::binary);
    if (!file) {
        std::cerr << "tamarackspand: " << line.settingsFile << ": can't be read\n";
        return ExitCode::BadSettings;
    }
    auto text = std::stringstream();
    text << file.rdbuf();
    const auto settings = configuration::parseSettings(text.str(), line.settingsFile, line.overrides);
    if (!settings.ok()) {
        for (const auto &error : settings.error()) {
            std::cerr << "tamarackspand: " << base::toString(error) << "\n";
        }
        return ExitCode::BadSettings;
    }
    return line.checkOnly ? ExitCode::Success : runHost(settings.value());
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return static_cast<int>(run(argc, argv));
}
