#pragma once

#include "tamarackspan/testkit/fleet.h"
#include "tamarackspan/testkit/relay.h"

#include <functional>

namespace tamarackspan::control_tests {

/// How soon a published change has to be in force on every reachable host.
inline constexpr auto changeBound = absl::Seconds(15);
inline constexpr auto readyTimeout = absl::Seconds(30);

/// The limits of a contract whose only operation "read" asks the service "trays".
struct ContractText
{
    std::string customer;
    unsigned rate = 60;
    unsigned burst = 12;
    unsigned concurrency = 6;
};

/// A data centre "a" whose hosts each read the platform through a relay of their own.
struct ControlFleet
{
    explicit ControlFleet(std::size_t count,
                          std::vector<std::string> timing = {"lease_ms = 800", "host_list_lag_ms = 200", "heartbeat_ms = 100", "peer_timeout_ms = 800",
                                                             "start_wait_ms = 800"});

    /// Adds a host that isn't started yet.
    auto addHost() -> std::size_t;
    auto publishHosts() -> void;
    auto publishContract(const ContractText &text) -> void;
    /// One leaf with one shard, which takes so long for each request.
    auto publishService(std::uint32_t meanMicros) -> void;
    /// Stops and silences nothing but the host's way to the platform.
    auto cutFromPlatform(std::size_t host, bool cut) -> void;

    /// What `GET path` on the host's admin address answers; null if it doesn't.
    [[nodiscard]] auto admin(std::size_t host, const std::string &path) const -> nlohmann::json;
    /// The entry of a key in /configuration; null if there is none.
    [[nodiscard]] auto document(std::size_t host, const std::string &key) const -> nlohmann::json;
    /// The rate that /explain names for a customer's contract; 0 if there is none.
    [[nodiscard]] auto rateInForce(std::size_t host, const std::string &customer) const -> unsigned;

    testkit::Fleet fleet;
    std::vector<std::unique_ptr<testkit::Relay>> relays;
    std::vector<std::string> timing;
};

/// Waits until the condition holds; false when the time is up first.
[[nodiscard]] auto waitFor(absl::Duration timeout, const std::function<bool()> &condition) -> bool;

} // namespace tamarackspan::control_tests
