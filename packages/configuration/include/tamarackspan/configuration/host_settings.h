#pragma once

#include "tamarackspan/base/config_error.h"
#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::configuration {

/// How much is logged.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// How a log line is written.
enum class LogFormat {
    Text,
    Json,
};

/// Who this host is and what it does: table "host".
struct HostIdentity
{
    base::DataCentre dataCentre;
    /// Where peers reach the inner protocol; the host's id.
    base::HostId innerAddress;
    /// Where callers send requests.
    std::string callerAddress;
    /// Where operators read status, metrics, costs and the audit trail.
    std::string adminAddress;
    std::uint32_t trafficThreads = 2;

    friend auto operator==(const HostIdentity &, const HostIdentity &) -> bool = default;
};

/// Waits and leases: table "timing".
struct Timing
{
    /// How long a host's part of a contract's limits lasts after it last saw itself in a fresh host list.
    absl::Duration lease = absl::Seconds(3);
    /// The most by which the published host list is taken to lag.
    absl::Duration hostListLag = absl::Seconds(2);
    /// How often peers hear from this host.
    absl::Duration heartbeat = absl::Milliseconds(500);
    /// How long requests are still accepted after the host said that it leaves.
    absl::Duration drainWait = absl::Seconds(2);
    /// A peer that was silent for so long is taken as unreachable.
    absl::Duration peerTimeout = absl::Seconds(2);
    /// How long a watch of the platform waits for a change.
    absl::Duration platformWait = absl::Seconds(5);
    /// A call to the platform has failed when it takes this much longer than its wait.
    absl::Duration platformTimeout = absl::Milliseconds(1500);
    /// How long a starting host waits for the platform and for peers before it serves with what it has.
    absl::Duration startWait = absl::Seconds(5);
    /// How often a host's cost counters are sent to its peers.
    absl::Duration costReport = absl::Seconds(1);
    /// How long after its issue a ticket may be submitted first; a planned stop waits for those that are out.
    absl::Duration ticketLife = absl::Seconds(10);

    friend auto operator==(const Timing &, const Timing &) -> bool = default;
};

/// Where log lines go: table "log".
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    /// A path; empty for standard error.
    std::string file;

    friend auto operator==(const LogSettings &, const LogSettings &) -> bool = default;
};

/// Everything that one process of the daemon is told at its start.
struct HostSettings
{
    HostIdentity host;
    /// Addresses of the platform's configuration service, tried in order.
    std::vector<std::string> platformAddresses;
    /// Inner addresses of peers to ask when the host list can't be read.
    std::vector<std::string> peerAddresses;
    Timing timing;
    LogSettings log;
    /// Where the audit trail is written as JSON lines; empty for memory alone.
    std::string auditFile;

    friend auto operator==(const HostSettings &, const HostSettings &) -> bool = default;
};

/// Reads host settings from TOML. Each override is "table.key=value" as given on the command line: the value is TOML, or a text where it isn't, and replaces
/// the key of the text; it goes through the same checks, and its faults name "--set" as their place. The error holds every fault.
[[nodiscard]] auto parseSettings(std::string_view text, std::string path, const std::vector<std::string> &overrides = {})
    -> base::Result<HostSettings, std::vector<base::ConfigError>>;

} // namespace tamarackspan::configuration
