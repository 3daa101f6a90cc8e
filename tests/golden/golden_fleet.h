#pragma once

#include "session.h"

#include "tamarackspan/testkit/fleet.h"

#include <gtest/gtest.h>
#include <memory>

namespace tamarackspan::golden {

/// Two hosts in one data centre, two leafs with one shard each, and the contracts of the sessions. One fleet for all tests of a suite.
class GoldenFleet : public testing::Test
{
protected:
    static auto SetUpTestSuite() -> void;
    static auto TearDownTestSuite() -> void;

    /// The fleet that runs.
    [[nodiscard]] static auto fleet() -> testkit::Fleet &;

    /// The index in the fleet of the host that sessions call by this number: hosts are numbered in the order of their inner addresses, which is the order in
    /// which hosts list each other.
    [[nodiscard]] static auto indexOf(std::size_t host) -> std::size_t;

    [[nodiscard]] static auto addresses(std::size_t host) -> const testkit::HostAddresses &;

    /// A session that knows the fleet's addresses by name.
    [[nodiscard]] static auto newSession() -> Session;

    /// Polls `GET path` on a host's admin address until the answer contains the text; notes a failure after 30 s.
    static auto waitFor(std::size_t host, const std::string &path, const std::string &text) -> void;

    static std::unique_ptr<testkit::Fleet> running;
};

/// The text of the contract "desk" with this burst.
[[nodiscard]] auto deskContract(int burst) -> std::string;

} // namespace tamarackspan::golden
