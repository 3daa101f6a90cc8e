#pragma once

#include "tamarackspan/testkit/child_process.h"
#include "tamarackspan/testkit/http_client.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// The programs that a fleet runs.
struct FleetPrograms
{
    std::string daemon;
    std::string leafStandIn;
    std::string platformStandIn;
};

/// The options of one host under test.
struct HostOptions
{
    std::string dataCentre = "a";
    std::uint32_t trafficThreads = 1;
    /// Addresses of the platform; by default that of the platform stand-in.
    std::optional<std::vector<std::string>> platform;
    /// Inner addresses of the peers, such as those of relays; by default those of all other hosts of the fleet.
    std::optional<std::vector<std::string>> peers;
    /// Lines of the [timing] table in the settings file, such as "lease_ms = 500".
    std::vector<std::string> timing;
    /// Additional arguments of the daemon, such as "--set" and "key=value".
    std::vector<std::string> arguments;
};

/// The addresses of one host, as "127.0.0.1:PORT".
struct HostAddresses
{
    std::string inner;
    std::string caller;
    std::string admin;

    friend auto operator==(const HostAddresses &, const HostAddresses &) -> bool = default;
};

/// Returns a port on 127.0.0.1 that could be bound at the time of the call, different from those returned to this process before.
[[nodiscard]] auto freePort() -> std::uint16_t;

/// Runs a platform stand-in, leaf stand-ins and hosts as child processes, with their files in a temporary folder. The destructor kills and reaps the processes
/// and removes the folder, which is kept if the environment variable TAMARACKSPAN_KEEP is set. Not thread-safe.
class Fleet
{
public:
    /// Starts the platform stand-in without any value. Terminates the test process if the stand-in doesn't start.
    explicit Fleet(FleetPrograms programs);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    [[nodiscard]] auto folder() const -> const std::string &;

    /// Starts one process that serves these leafs, each described by the keys of `leafstandin --leaf`, and returns their ports in the same order.
    [[nodiscard]] auto startLeafs(const std::vector<nlohmann::json> &leafs) -> absl::StatusOr<std::vector<std::uint16_t>>;

    /// Changes the behaviour of the leaf that was started with this id.
    [[nodiscard]] auto controlLeaf(const std::string &leaf, const nlohmann::json &change) -> absl::Status;

    [[nodiscard]] auto platformAddress() const -> std::string;

    /// Publishes a value at the platform stand-in.
    [[nodiscard]] auto publish(const std::string &key, const std::string &value) -> absl::Status;

    /// Posts a change to the platform stand-in's control port.
    [[nodiscard]] auto controlPlatform(const nlohmann::json &change) -> absl::Status;

    /// Returns the platform stand-in's call counts.
    [[nodiscard]] auto platformStatistics() -> absl::StatusOr<nlohmann::json>;

    /// Adds a host without starting it: assigns its addresses and returns its index.
    auto addHost(HostOptions options) -> std::size_t;

    [[nodiscard]] auto addresses(std::size_t host) const -> const HostAddresses &;

    /// Writes the host's settings file and starts the host. If it is already running, the old process is killed first.
    auto startHost(std::size_t host) -> void;

    /// Waits until `GET /ready` on the host's admin address returns 200. The error contains the host's output.
    [[nodiscard]] auto waitReady(std::size_t host, absl::Duration timeout) -> absl::Status;

    /// Starts all added hosts and waits until all are ready.
    [[nodiscard]] auto startAll(absl::Duration timeout) -> absl::Status;

    /// The process of a started host.
    [[nodiscard]] auto process(std::size_t host) -> ChildProcess &;

    /// Returns the output of all started hosts, each under a line with the host's address, for the message of a failed test.
    [[nodiscard]] auto outputs() const -> std::string;

    /// Returns the history records that all leafs have written so far.
    [[nodiscard]] auto leafHistory() const -> std::vector<nlohmann::json>;

private:
    struct Host;

    [[nodiscard]] auto settingsOf(const Host &host) const -> std::string;

    FleetPrograms programs;
    std::string directory;
    std::unique_ptr<ChildProcess> platform;
    std::string platformListenAddress;
    std::string platformControlAddress;
    std::vector<std::unique_ptr<ChildProcess>> leafProcesses;
    std::vector<std::string> leafHistoryPaths;
    std::map<std::string, std::string> leafControlAddresses;
    std::vector<std::unique_ptr<Host>> hosts;
};

} // namespace tamarackspan::testkit
