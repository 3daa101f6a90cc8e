#pragma once

#include "tamarackspan/testkit/fleet.h"
#include "tamarackspan/testkit/relay.h"

#include <functional>

namespace tamarackspan::control_tests {

/// The time within which a published change must be in force on every reachable host.
inline constexpr auto changeBound = absl::Seconds(15);
inline constexpr auto readyTimeout = absl::Seconds(30);

/// The limits of a contract whose only operation "read" queries the service "trays".
struct ContractText
{
    std::string customer;
    unsigned rate = 60;
    unsigned burst = 12;
    unsigned concurrency = 6;
};

/// A data centre "a" whose hosts each reach the platform through their own relay.
struct ControlFleet
{
    explicit ControlFleet(std::size_t count,
                          std::vector<std::string> timing = {"lease_ms = 800", "host_list_lag_ms = 200", "heartbeat_ms = 100", "peer_timeout_ms = 800",
                                                             "start_wait_ms = 800"});

    /// Adds a host without starting it.
    auto addHost() -> std::size_t;
    auto publishHosts() -> void;
    auto publishContract(const ContractText &text) -> void;
    /// Starts and publishes one leaf with one shard and this mean service time.
    auto publishService(std::uint32_t meanMicros) -> void;
    /// Cuts or restores only the connection between the host and the platform.
    auto cutFromPlatform(std::size_t host, bool cut) -> void;

    /// Returns the JSON answer of `GET path` on the host's admin address; null if there is no answer.
    [[nodiscard]] auto admin(std::size_t host, const std::string &path) const -> nlohmann::json;
    /// Returns the entry of a key in /configuration; null if there is none.
    [[nodiscard]] auto document(std::size_t host, const std::string &key) const -> nlohmann::json;
    /// Returns the rate that /explain reports for a customer's contract; 0 if there is none.
    [[nodiscard]] auto rateInForce(std::size_t host, const std::string &customer) const -> unsigned;

    testkit::Fleet fleet;
    std::vector<std::unique_ptr<testkit::Relay>> relays;
    std::vector<std::string> timing;
};

/// Waits until the condition holds; returns false if the timeout passes first.
[[nodiscard]] auto waitFor(absl::Duration timeout, const std::function<bool()> &condition) -> bool;

} // namespace tamarackspan::control_tests
