#pragma once

#include "tamarackspan/testkit/http_server.h"

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One published version of a key.
struct Publication
{
    std::uint64_t revision = 0;
    /// The value, or nullopt if the key was removed.
    std::optional<std::string> value;

    friend auto operator==(const Publication &, const Publication &) -> bool = default;
};

/// A configuration service that implements the platform's protocol with values in memory. Methods other than the constructor, the destructor and port() must be
/// called on the loop's thread.
class PlatformServer
{
public:
    /// Starts to listen. The loop must outlive the server.
    PlatformServer(transport::EventLoop &loop, HttpServerOptions options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Publishes the value under the next revision, answers the watches that wait for it and returns the revision. nullopt removes the key.
    auto publish(const std::string &key, std::optional<std::string> value) -> std::uint64_t;

    /// Changes the service's behaviour: "down" (bool: connections are closed without a reply), "stale" (a revision from which reads are served, or null for the
    /// newest) and "slow_ms" (delay of each reply). An unknown key returns an error and changes nothing.
    [[nodiscard]] auto control(const nlohmann::json &change) -> absl::Status;

    /// Returns the number of reads since the start, where a waiting call counts as one read, and the newest revision.
    [[nodiscard]] auto statistics() const -> nlohmann::json;

private:
    struct State;
    std::unique_ptr<State> state;
    HttpServer server;
};

} // namespace tamarackspan::testkit
