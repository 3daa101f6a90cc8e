#pragma once

#include "tamarackspan/census/census_link.h"
#include "tamarackspan/gateway/document_follower.h"
#include "tamarackspan/gateway/gateway.h"
#include "tamarackspan/gateway/ports.h"
#include "tamarackspan/transport/endpoint.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

/// Timing of a planned stop.
struct StopSettings
{
    /// Until the balancer has stopped sending new connections: two missed checks, a second apart, and one more for a check that was just in flight.
    absl::Duration balancerWait = absl::Milliseconds(2600);
    /// Total time until the process is killed.
    absl::Duration grace = absl::Seconds(6);
    /// This long before its end the host takes no more connections and ends the requests that are still under way; the rest of the time is for sending the
    /// answers.
    absl::Duration reserve = absl::Milliseconds(500);
    /// The process ends this long before it would be killed, whatever is still to be sent.
    absl::Duration exitMargin = absl::Milliseconds(100);

    friend auto operator==(const StopSettings &, const StopSettings &) -> bool = default;
};

/// All settings of a gateway host.
struct GatewayHostSettings
{
    std::string hostName{};
    /// Address for callers' requests.
    transport::Endpoint callers{};
    /// Address for the balancer's readiness checks.
    transport::Endpoint readiness{};
    /// Address from which counters and histograms are read.
    transport::Endpoint metrics{};
    /// CPU that the host may use, in thousandths of a core.
    std::uint32_t capacity = 0;
    /// Memory that the process may use, in bytes; 0 if the limit is unknown, so that nothing is bounded by it.
    std::size_t memoryBytes = 0;
    census::CensusSettings census{};
    GatewaySettings gateway{};
    FollowerSettings follower{};
    StopSettings stop{};

    friend auto operator==(const GatewayHostSettings &, const GatewayHostSettings &) -> bool = default;
};

/// Settings that were read again.
struct SettingsChange
{
    /// The settings in force from now on: those that need a restart are as before.
    GatewayHostSettings settings{};
    /// Whether calls go to another address of the document store from now on.
    bool storeMoved = false;
    /// The names of the settings that have changed and are in force, and of those that differ from what is in force and need a restart.
    std::vector<std::string> inForce{};
    std::vector<std::string> needRestart{};
};

/// A gateway host's interfaces to protocols, document store and settings, as plain functions.
struct GatewayPorts
{
    CallerProtocol callers;
    LeafProtocol leafs;
    DocumentCalls documents;
    /// Reads the settings file again; returns nothing if it can't be used, after logging why.
    std::function<std::optional<SettingsChange>()> readSettings;
    /// Returns a number that changes when the content of the settings file may have changed.
    std::function<std::uint64_t()> settingsStamp;
};

/// Runs a host until SIGTERM or SIGINT; SIGHUP makes it read its settings again. Returns the exit code: 0 after a planned stop, 4 if it can't listen on an
/// address.
[[nodiscard]] auto runGatewayHost(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports) -> int;

} // namespace tamarackspan::gateway
