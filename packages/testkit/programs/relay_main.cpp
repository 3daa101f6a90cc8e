#include "tamarackspan/testkit/relay.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

constexpr auto usage = "usage: relay --to 127.0.0.1:PORT [--listen 127.0.0.1:PORT] [--control-port PORT]\n"
                       "Relays TCP connections until SIGTERM.\n";

struct Arguments
{
    std::uint16_t port = 0;
    std::uint16_t targetPort = 0;
    std::uint16_t controlPort = 0;
};

auto portOf(const std::string &text) -> std::uint16_t
{
    auto port = std::uint32_t{0};
    if (!absl::SimpleAtoi(text.substr(text.find(':') + 1), &port) || port > UINT16_MAX) {
        std::cerr << "relay: expected a port, found " << text << "\n" << usage;
        std::exit(2);
    }
    return static_cast<std::uint16_t>(port);
}

auto parse(int count, char **values) -> Arguments
{
    const auto options = std::array<option, 5>{{{"listen", required_argument, nullptr, 'l'},
                                                {"to", required_argument, nullptr, 't'},
                                                {"control-port", required_argument, nullptr, 'c'},
                                                {"help", no_argument, nullptr, '?'},
                                                {nullptr, 0, nullptr, 0}}};
    auto arguments = Arguments();
    for (auto found = 0; (found = getopt_long(count, values, "", options.data(), nullptr)) != -1;) {
        if (found == 'l') {
            arguments.port = portOf(optarg);
        } else if (found == 't') {
            arguments.targetPort = portOf(optarg);
        } else if (found == 'c') {
            arguments.controlPort = portOf(optarg);
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
    const auto relay = tamarackspan::testkit::Relay(arguments.port, arguments.targetPort, arguments.controlPort);
    std::cout << "listening 127.0.0.1:" << relay.port() << "\n"
              << "control 127.0.0.1:" << relay.controlPort() << std::endl;
    tamarackspan::testkit::waitForStopSignal();
    return 0;
}
