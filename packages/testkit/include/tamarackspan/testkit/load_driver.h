#pragma once

#include "tamarackspan/testkit/load_options.h"
#include "tamarackspan/testkit/load_report.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::testkit {

/// Progress of a running load.
struct LoadProgress
{
    absl::Duration elapsed;
    std::uint64_t finished = 0;
    std::uint64_t answers = 0;
    std::uint64_t inFlight = 0;
    /// Requests that were due but not sent because the limit of requests in flight was reached.
    std::uint64_t notSent = 0;

    friend auto operator==(const LoadProgress &, const LoadProgress &) -> bool = default;
};

/// Callbacks of the driver; both run on the driver's thread.
struct LoadObserver
{
    /// Called for each call when it ends. A request that is resent with its ticket counts as a separate call each time.
    std::function<void(const CallRecord &)> onCall;
    /// Called about once a second.
    std::function<void(const LoadProgress &)> onProgress;
};

/// Sends the load and returns once every request has ended. Runs on the calling thread only. The options must contain an address and a mix.
auto driveLoad(const LoadOptions &options, const LoadObserver &observer) -> LoadProgress;

} // namespace tamarackspan::testkit
