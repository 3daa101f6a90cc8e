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

/// The lowest severity that is logged.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// The format of log lines.
enum class LogFormat {
    Text,
    Json,
};

/// The host's addresses and traffic threads: table "host".
struct HostIdentity
{
    base::DataCentre dataCentre;
    /// Address for the inner protocol between hosts; also the host's id.
    base::HostId innerAddress;
    /// Address for callers' requests.
    std::string callerAddress;
    /// Address where operators read status, metrics, costs and the audit trail.
    std::string adminAddress;
    std::uint32_t trafficThreads = 2;

    friend auto operator==(const HostIdentity &, const HostIdentity &) -> bool = default;
};

/// Timeouts, intervals and leases: table "timing".
struct Timing
{
    /// How long a host's share of the limits stays valid after the host last saw itself in a fresh host list.
    absl::Duration lease = absl::Seconds(3);
    /// The greatest staleness assumed for the published host list.
    absl::Duration hostListLag = absl::Seconds(2);
    /// Interval of heartbeats to peers.
    absl::Duration heartbeat = absl::Milliseconds(500);
    /// How long requests are still accepted after the host announced that it is leaving.
    absl::Duration drainWait = absl::Seconds(2);
    /// A peer not heard for this long is considered unreachable.
    absl::Duration peerTimeout = absl::Seconds(2);
    /// How long a watch call to the platform waits for a change.
    absl::Duration platformWait = absl::Seconds(5);
    /// A call to the platform fails if it takes this much longer than its wait.
    absl::Duration platformTimeout = absl::Milliseconds(1500);
    /// How long a starting host waits for the platform and for peers before it serves with the configuration that it has.
    absl::Duration startWait = absl::Seconds(5);
    /// Interval at which the host's cost counters are sent to its peers.
    absl::Duration costReport = absl::Seconds(1);
    /// How long after its issue a ticket may first be submitted. A planned stop waits for the tickets issued.
    absl::Duration ticketLife = absl::Seconds(10);

    friend auto operator==(const Timing &, const Timing &) -> bool = default;
};

/// Log output: table "log".
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    /// Path of the log file; empty for standard error.
    std::string file;

    friend auto operator==(const LogSettings &, const LogSettings &) -> bool = default;
};

/// All settings of one daemon process, read at its start.
struct HostSettings
{
    HostIdentity host;
    /// Addresses of the platform's configuration service, tried in this order.
    std::vector<std::string> platformAddresses;
    /// Inner addresses of peers to contact when the host list can't be read.
    std::vector<std::string> peerAddresses;
    Timing timing;
    LogSettings log;
    /// Path of the file to which the audit trail is written as JSON lines; empty to keep it only in memory.
    std::string auditFile;

    friend auto operator==(const HostSettings &, const HostSettings &) -> bool = default;
};

/// Parses host settings from TOML. Each override has the form "table.key=value" as on the command line and replaces the value of that key. Its value is parsed
/// as TOML, or taken as a string if it isn't TOML, and is validated like the rest; its errors have "--set" as their position. On failure, all errors are
/// returned.
[[nodiscard]] auto parseSettings(std::string_view text, std::string path, const std::vector<std::string> &overrides = {})
    -> base::Result<HostSettings, std::vector<base::ConfigError>>;

} // namespace tamarackspan::configuration
