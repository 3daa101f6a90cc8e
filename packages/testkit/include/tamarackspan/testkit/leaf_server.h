#pragma once

#include "tamarackspan/base/random.h"
#include "tamarackspan/testkit/history.h"
#include "tamarackspan/testkit/http_server.h"
#include "tamarackspan/testkit/leaf_behaviour.h"

#include <map>
#include <memory>
#include <string>

namespace tamarackspan::testkit {

/// One leaf on one port that implements the leaf protocol and records each request in its history. The members of the records are described in docs/TESTKIT.md.
class LeafServer
{
public:
    /// Starts to listen. The loop and the history must outlive the server. Methods other than the constructor, the destructor and port() must be called on the
    /// loop's thread.
    LeafServer(transport::EventLoop &loop, History &history, HttpServerOptions options, LeafBehaviour behaviour);
    ~LeafServer();
    LeafServer(const LeafServer &) = delete;
    auto operator=(const LeafServer &) -> LeafServer & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Changes the behaviour like applyBehaviour(); a change of `draining` is recorded in the history.
    [[nodiscard]] auto control(const nlohmann::json &change) -> absl::Status;

    /// Returns counts since the start: requests by outcome, peaks and violations of the slot and connection limits, and the total cost.
    [[nodiscard]] auto statistics() const -> nlohmann::json;

private:
    struct State;
    std::unique_ptr<State> state;
    HttpServer server;
};

} // namespace tamarackspan::testkit
