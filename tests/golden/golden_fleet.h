#pragma once

#include "session.h"

#include "tamarackspan/testkit/fleet.h"

#include <gtest/gtest.h>
#include <memory>

namespace tamarackspan::golden {

/// Two hosts in one data centre, two leafs with one shard each, and the contracts that the sessions use. All tests of a suite share one fleet.
class GoldenFleet : public testing::Test
{
protected:
    static auto SetUpTestSuite() -> void;
    static auto TearDownTestSuite() -> void;

    /// The running fleet.
    [[nodiscard]] static auto fleet() -> testkit::Fleet &;

    /// Converts a host number of a session into an index in the fleet. Sessions number the hosts in the order of their inner addresses, which is the order in
    /// which hosts list each other.
    [[nodiscard]] static auto indexOf(std::size_t host) -> std::size_t;

    [[nodiscard]] static auto addresses(std::size_t host) -> const testkit::HostAddresses &;

    /// Creates a session that replaces the fleet's addresses by names.
    [[nodiscard]] static auto newSession() -> Session;

    /// Polls `GET path` on a host's admin address until the answer contains the text; records a test failure after 30 s.
    static auto waitFor(std::size_t host, const std::string &path, const std::string &text) -> void;

    static std::unique_ptr<testkit::Fleet> running;
};

/// Returns the text of the contract "desk" with this burst.
[[nodiscard]] auto deskContract(int burst) -> std::string;

} // namespace tamarackspan::golden
