#pragma once

#include "tamarackspan/testkit/fleet.h"
#include "tamarackspan/testkit/history_checker.h"
#include "tamarackspan/testkit/load_driver.h"

#include "gtest/gtest.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarackspan::answers {

using Json = nlohmann::json;

/// The service as it is published: leafs l0 to l3; each shard is held by two consecutive leafs.
struct PublishedService
{
    std::vector<std::uint64_t> versions = {42, 41};
    std::uint32_t shards = 4;
    std::uint32_t slots = 4;
    std::uint32_t connections = 25;
    std::uint32_t groupSize = 2;
    std::set<std::size_t> leaving;
    /// Shard s is held by the leafs s + shift and s + shift + 1, modulo the number of leafs.
    std::size_t shift = 0;
    std::map<std::size_t, std::uint16_t> otherPorts;
};

/// The contract of the customer "desk" with the queries "strict" (complete answers or a refusal) and "labelled" (any coverage), and the execute operation
/// "book".
struct PublishedContract
{
    std::uint32_t deadlineMs = 2000;
    std::uint32_t extraLoadPermille = 100;
};

/// Simulated leafs and platform, hosts in data centre "a", and the calls that were made to the hosts. The destructor checks nothing; it prints the hosts'
/// output if the test has failed.
class Deployment
{
public:
    explicit Deployment(std::size_t hosts, const Json &leafKeys = Json::object(), const std::function<void(testkit::HostOptions &, std::size_t)> &adjust = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    auto publishHosts(const std::vector<std::size_t> &hosts) -> void;
    auto publishService(const PublishedService &service) -> void;
    auto publishContract(const PublishedContract &contract) -> void;
    auto start() -> void;

    /// Returns the options of a closed-loop load on these hosts.
    [[nodiscard]] auto load(const std::string &operation, const std::vector<std::size_t> &hosts, std::uint64_t seed) const -> testkit::LoadOptions;

    /// Drives the load on a separate thread while `meanwhile` runs on this one, and records the calls.
    auto drive(const testkit::LoadOptions &options, const std::function<void()> &meanwhile = {}) -> void;

    auto addRecord(const Json &record) -> void;

    /// Checks the records of callers and leafs. Each of the named rules must have been evaluated at least once; a violation of any rule is a failure.
    auto check(const std::vector<std::string> &rules, testkit::CheckerOptions options = {}) -> void;

    [[nodiscard]] auto answersOf(const std::string &caller) const -> std::vector<Json>;
    [[nodiscard]] auto callsOf(const std::string &caller) const -> std::vector<Json>;
    [[nodiscard]] auto queryUrl(std::size_t host, const std::string &operation) const -> std::string;

    testkit::Fleet fleet;
    std::vector<std::uint16_t> leafPorts;

private:
    std::vector<Json> calls;
};

} // namespace tamarackspan::answers
