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
    /// Not idempotent: takes a ticket first.
    bool execute = false;
    /// How often it comes, relative to the other entries.
    double weight = 1;

    friend auto operator==(const MixEntry &, const MixEntry &) -> bool = default;
};

/// What the load driver sends.
struct LoadOptions
{
    /// Caller addresses as "127.0.0.1:PORT"; each request goes to one drawn from the list, so that a repeated address gets more.
    std::vector<std::string> addresses;
    std::vector<MixEntry> mix;
    /// Requests per second, with exponentially distributed gaps. 0 is a closed loop: `inFlight` requests are always on their way.
    double rate = 0;
    /// The most requests on their way; in an open loop, a request that comes above it is not sent and counted.
    std::uint32_t inFlight = 16;
    /// No request starts after this time or this number, whichever comes first.
    absl::Duration duration = absl::Seconds(5);
    std::uint64_t count = 100'000;
    std::uint64_t seed = 1;
    /// Sent with each request if not zero.
    absl::Duration deadline = absl::ZeroDuration();
    /// When the driver gives up on a reply.
    absl::Duration timeout = absl::Seconds(10);
    /// How often a request with a ticket is sent in all, through other addresses, until an answer or a refusal says whether it was run.
    std::uint32_t executeAttempts = 1;
    /// Number of different routing keys.
    std::uint32_t routingKeys = 1000;
    /// Names this driver in the history and begins each marker.
    std::string caller = "caller";

    friend auto operator==(const LoadOptions &, const LoadOptions &) -> bool = default;
};

/// Reads the options from a JSON object with the keys of docs/TESTKIT.md. The error names the wrong key; then nothing is changed.
[[nodiscard]] auto applyLoadOptions(LoadOptions &options, const nlohmann::json &values) -> absl::Status;

/// Reads "customer/operation", "customer/operation:weight" or "customer/operation:weight:execute" into the JSON form of a mix entry.
[[nodiscard]] auto parseMix(const std::string &text) -> nlohmann::json;

} // namespace tamarackspan::testkit
