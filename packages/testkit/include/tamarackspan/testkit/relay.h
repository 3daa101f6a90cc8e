#pragma once

#include "tamarackspan/testkit/http_server.h"
#include "tamarackspan/testkit/loop_thread.h"

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarackspan::testkit {

/// A TCP relay on 127.0.0.1 whose connections can be cut, delayed or silenced while they are open. It has a port for control: `POST /control` with the members
/// of change() and `GET /stats`.
class Relay
{
public:
    /// Starts to listen; port 0 lets the system choose. `targetPort` is on 127.0.0.1 too.
    Relay(std::uint16_t port, std::uint16_t targetPort, std::uint16_t controlPort);
    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;
    [[nodiscard]] auto controlPort() const noexcept -> std::uint16_t;

    /// Changes what the relay does, from any thread but its own:
    /// - "cut": true closes all open connections now;
    /// - "refuse": whether new connections are refused;
    /// - "silent": "open" makes the connections open now pass nothing for good, not even a close, while new ones work; "all" makes every connection pass
    ///   nothing, new ones included; "none" ends "all";
    /// - "one_way": "to_server" or "to_client" is the only direction that passes; "both" ends it;
    /// - "delay_ms": delay of each direction.
    /// An unknown key or value is an error and changes nothing.
    [[nodiscard]] auto change(const nlohmann::json &change) -> absl::Status;

    /// Returns the number of connections accepted and open, and the bytes passed. From any thread but its own.
    [[nodiscard]] auto statistics() -> nlohmann::json;

private:
    struct State;
    LoopThread thread;
    std::unique_ptr<State> state;
    std::unique_ptr<HttpServer> controlServer;
};

} // namespace tamarackspan::testkit
