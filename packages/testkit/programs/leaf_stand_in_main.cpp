#include "tamarackspan/testkit/leaf_stand_in.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace {

namespace testkit = tamarackspan::testkit;
using Json = nlohmann::json;

constexpr auto usage = "usage: leafstandin [--leaf id=a,port=0,slots=2,connections=25,shards=0+1,index_versions=42+41,mean_us=1000,...]...\n"
                       "                   [--script FILE] [--control-port PORT] [--history FILE] [--no-history]\n"
                       "Serves leafs on 127.0.0.1 until SIGTERM. FILE has one [[leaf]] table for each leaf with the same keys.\n";

struct Arguments
{
    std::vector<Json> leafs;
    std::string history;
    testkit::HistoryStore store = testkit::HistoryStore::Memory;
    std::uint16_t controlPort = 0;
};

[[noreturn]] auto stopWith(const std::string &message) -> void
{
    std::cerr << "leafstandin: " << message << "\n" << usage;
    std::exit(2);
}

auto readScript(const std::string &path) -> std::vector<Json>
{
    auto script = Json();
    const auto status = testkit::readToml(path, script);
    if (!status.ok()) {
        stopWith(std::string(status.message()));
    }
    return script.value("leaf", std::vector<Json>());
}

auto parse(int count, char **values) -> Arguments
{
    const auto options = std::array<option, 7>{{{"leaf", required_argument, nullptr, 'l'},
                                                {"script", required_argument, nullptr, 's'},
                                                {"history", required_argument, nullptr, 'h'},
                                                {"no-history", no_argument, nullptr, 'n'},
                                                {"control-port", required_argument, nullptr, 'c'},
                                                {"help", no_argument, nullptr, '?'},
                                                {nullptr, 0, nullptr, 0}}};
    auto arguments = Arguments();
    for (auto found = 0; (found = getopt_long(count, values, "", options.data(), nullptr)) != -1;) {
        if (found == 'l') {
            arguments.leafs.push_back(testkit::parseKeyValues(optarg));
        } else if (found == 's') {
            for (auto &leaf : readScript(optarg)) {
                arguments.leafs.push_back(std::move(leaf));
            }
        } else if (found == 'h') {
            arguments.history = optarg;
            arguments.store = testkit::HistoryStore::File;
        } else if (found == 'n') {
            arguments.store = testkit::HistoryStore::Discard;
        } else if (found == 'c') {
            arguments.controlPort = static_cast<std::uint16_t>(std::strtoul(optarg, nullptr, 10));
        } else {
            stopWith("see the usage");
        }
    }
    return arguments;
}

} // namespace

auto main(int count, char **values) -> int
{
    const auto arguments = parse(count, values);
    testkit::blockStopSignals();
    auto standIn = testkit::LeafStandIn(arguments.controlPort, arguments.store, arguments.history);
    for (const auto &leaf : arguments.leafs) {
        const auto port = standIn.add(leaf);
        if (!port.ok()) {
            stopWith(std::string(port.status().message()));
        }
        std::cout << "listening 127.0.0.1:" << *port << std::endl;
    }
    std::cout << "control 127.0.0.1:" << standIn.controlPort() << std::endl;
    testkit::waitForStopSignal();
    return 0;
}
