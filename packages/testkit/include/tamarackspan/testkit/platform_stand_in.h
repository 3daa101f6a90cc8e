#pragma once

#include "tamarackspan/testkit/loop_thread.h"
#include "tamarackspan/testkit/platform_server.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarackspan::testkit {

/// A configuration service with a control port: `POST /control` accepts {"publish": {"key": K, "value": V}}, {"remove": K} or the members of
/// PlatformServer::control(); `GET /stats` returns the counts.
class PlatformStandIn
{
public:
    PlatformStandIn(std::uint16_t port, std::uint16_t controlPort);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    auto operator=(const PlatformStandIn &) -> PlatformStandIn & = delete;

    /// Publishes each .toml file below the folder, ordered by name; the key is the relative path without the extension.
    [[nodiscard]] auto publishFolder(const std::string &folder) -> absl::Status;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;
    [[nodiscard]] auto controlPort() const noexcept -> std::uint16_t;

private:
    auto control(Exchange &exchange) -> void;
    auto change(const nlohmann::json &change) -> absl::Status;

    LoopThread thread;
    std::unique_ptr<PlatformServer> server;
    std::unique_ptr<HttpServer> controlServer;
};

} // namespace tamarackspan::testkit
