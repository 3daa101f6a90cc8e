#pragma once

#include "tamarackspan/testkit/load_options.h"
#include "tamarackspan/testkit/load_report.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::testkit {

/// Counts while the driver runs.
struct LoadProgress
{
    absl::Duration elapsed;
    std::uint64_t finished = 0;
    std::uint64_t answers = 0;
    std::uint64_t inFlight = 0;
    /// Requests that were due but not sent, since too many were on their way.
    std::uint64_t notSent = 0;

    friend auto operator==(const LoadProgress &, const LoadProgress &) -> bool = default;
};

/// Where the driver reports to; both are called on the driver's thread.
struct LoadObserver
{
    /// Each call as it ends; a request that is sent again with its ticket is a call each time.
    std::function<void(const CallRecord &)> onCall;
    /// About once a second.
    std::function<void(const LoadProgress &)> onProgress;
};

/// Sends the load and returns once every request has ended. Uses the calling thread alone. The options must name an address and a mix.
auto driveLoad(const LoadOptions &options, const LoadObserver &observer) -> LoadProgress;

} // namespace tamarackspan::testkit
