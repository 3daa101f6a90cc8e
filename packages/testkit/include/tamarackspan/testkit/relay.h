#pragma once

#include "tamarackspan/testkit/http_server.h"
#include "tamarackspan/testkit/loop_thread.h"

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarackspan::testkit {

/// A TCP relay on 127.0.0.1 that can close, delay or mute connections while they are open. Its control port accepts `POST /control` with the members of
/// change(), and `GET /stats`.
class Relay
{
public:
    /// Starts to listen; with port 0 the operating system chooses one. `targetPort` is also on 127.0.0.1.
    Relay(std::uint16_t port, std::uint16_t targetPort, std::uint16_t controlPort);
    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;
    [[nodiscard]] auto controlPort() const noexcept -> std::uint16_t;

    /// Changes the relay's behaviour. Must not be called from the relay's own thread. Members:
    /// - "cut": true closes all open connections now;
    /// - "refuse": whether new connections are refused;
    /// - "silent": "open" permanently mutes the connections that are open now, which then forward nothing, not even a close, while new connections work; "all"
    /// mutes every connection, including new ones; "oldest" permanently mutes the one that has been open longest of those that aren't; "none" ends "all";
    /// - "one_way": "to_server" or "to_client" is the only direction that is forwarded; "both" restores the other;
    /// - "delay_ms": delay of each direction.
    /// An unknown key or value returns an error and changes nothing.
    [[nodiscard]] auto change(const nlohmann::json &change) -> absl::Status;

    /// Returns the numbers of accepted and open connections and of bytes forwarded. Must not be called from the relay's own thread.
    [[nodiscard]] auto statistics() -> nlohmann::json;

private:
    struct State;
    LoopThread thread;
    std::unique_ptr<State> state;
    std::unique_ptr<HttpServer> controlServer;
};

} // namespace tamarackspan::testkit
