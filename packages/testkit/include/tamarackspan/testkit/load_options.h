#pragma once

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One kind of request in the mix.
struct MixEntry
{
    std::string customer;
    std::string operation;
    /// Whether the operation is not idempotent; such a request obtains a ticket first.
    bool execute = false;
    /// Relative frequency of this entry in the mix.
    double weight = 1;

    friend auto operator==(const MixEntry &, const MixEntry &) -> bool = default;
};

/// The load that the driver sends.
struct LoadOptions
{
    /// Caller addresses as "127.0.0.1:PORT". Each request goes to an address drawn at random from the list, so an address that occurs more than once gets more
    /// requests.
    std::vector<std::string> addresses;
    std::vector<MixEntry> mix;
    /// Requests per second, with exponentially distributed intervals. 0 means a closed loop that always has `inFlight` requests in flight.
    double rate = 0;
    /// Maximum number of requests in flight. In an open loop, a request beyond it is counted but not sent.
    std::uint32_t inFlight = 16;
    /// The driver starts no more requests after this time or this number, whichever is reached first.
    absl::Duration duration = absl::Seconds(5);
    std::uint64_t count = 100'000;
    std::uint64_t seed = 1;
    /// Deadline sent with each request; not sent if zero.
    absl::Duration deadline = absl::ZeroDuration();
    /// Timeout for a reply.
    absl::Duration timeout = absl::Seconds(10);
    /// Maximum number of attempts for a request with a ticket, each through the next address, until a reply states whether it was run.
    std::uint32_t executeAttempts = 1;
    /// Number of distinct routing keys.
    std::uint32_t routingKeys = 1000;
    /// The driver's name in the history and the prefix of each marker.
    std::string caller = "caller";

    friend auto operator==(const LoadOptions &, const LoadOptions &) -> bool = default;
};

/// Reads the options from a JSON object with the keys in docs/TESTKIT.md. The error names the invalid key; nothing is changed then.
[[nodiscard]] auto applyLoadOptions(LoadOptions &options, const nlohmann::json &values) -> absl::Status;

/// Parses "customer/operation", "customer/operation:weight" or "customer/operation:weight:execute" into the JSON form of a mix entry.
[[nodiscard]] auto parseMix(const std::string &text) -> nlohmann::json;

} // namespace tamarackspan::testkit
