#include "tamarackspan/testkit/platform_stand_in.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace {

constexpr auto usage = "usage: platformstandin [--folder FOLDER] [--port PORT] [--control-port PORT]\n"
                       "Serves the .toml files of the folder on 127.0.0.1 until SIGTERM.\n";

struct Arguments
{
    std::string folder;
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
};

auto parse(int count, char **values) -> Arguments
{
    const auto options = std::array<option, 5>{{{"folder", required_argument, nullptr, 'f'},
                                                {"port", required_argument, nullptr, 'p'},
                                                {"control-port", required_argument, nullptr, 'c'},
                                                {"help", no_argument, nullptr, '?'},
                                                {nullptr, 0, nullptr, 0}}};
    auto arguments = Arguments();
    for (auto found = 0; (found = getopt_long(count, values, "", options.data(), nullptr)) != -1;) {
        if (found == 'f') {
            arguments.folder = optarg;
        } else if (found == 'p') {
            arguments.port = static_cast<std::uint16_t>(std::strtoul(optarg, nullptr, 10));
        } else if (found == 'c') {
            arguments.controlPort = static_cast<std::uint16_t>(std::strtoul(optarg, nullptr, 10));
        } else {
            std::cerr << usage;
            std::exit(2);
        }
    }
    return arguments;
}

} // namespace

auto main(int count, char **values) -> int
{
    const auto arguments = parse(count, values);
    tamarackspan::testkit::blockStopSignals();
    auto standIn = tamarackspan::testkit::PlatformStandIn(arguments.port, arguments.controlPort);
    if (!arguments.folder.empty()) {
        const auto status = standIn.publishFolder(arguments.folder);
        if (!status.ok()) {
            std::cerr << "platformstandin: " << status.message() << "\n";
            return 2;
        }
    }
    std::cout << "listening 127.0.0.1:" << standIn.port() << "\n"
              << "control 127.0.0.1:" << standIn.controlPort() << std::endl;
    tamarackspan::testkit::waitForStopSignal();
    return 0;
}
