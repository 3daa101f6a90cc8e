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

/// One publication of a key.
struct Publication
{
    std::uint64_t revision = 0;
    /// Nothing if the key was removed.
    std::optional<std::string> value;

    friend auto operator==(const Publication &, const Publication &) -> bool = default;
};

/// A configuration service that speaks the platform's protocol from memory. Everything but the constructor, the destructor and port() is for the loop's thread.
class PlatformServer
{
public:
    /// Starts to listen. The loop outlives the server.
    PlatformServer(transport::EventLoop &loop, HttpServerOptions options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Publishes a value under the next revision and returns that; wakes the calls that wait for it. Nothing as value removes the key.
    auto publish(const std::string &key, std::optional<std::string> value) -> std::uint64_t;

    /// Changes what the service does: "down" (bool: closes connections unanswered), "stale" (a revision to answer from, or null for the newest) and "slow_ms"
    /// (delay of each reply). An unknown key is an error and changes nothing.
    [[nodiscard]] auto control(const nlohmann::json &change) -> absl::Status;

    /// Returns the counts of reads since the start, a waiting call as one, and the newest revision.
    [[nodiscard]] auto statistics() const -> nlohmann::json;

private:
    struct State;
    std::unique_ptr<State> state;
    HttpServer server;
};

} // namespace tamarackspan::testkit
