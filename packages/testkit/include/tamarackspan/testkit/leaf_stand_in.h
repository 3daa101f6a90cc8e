#pragma once

#include "tamarackspan/testkit/leaf_server.h"
#include "tamarackspan/testkit/loop_thread.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// Serves many leafs from one process, with one control port: `POST /control/LEAF` changes a leaf's behaviour, `GET /history[/LEAF]` returns the history as
/// JSON lines, and `GET /stats[/LEAF]` returns the counts. Control requests have a port of their own so that they use none of the leafs' connections.
class LeafStandIn
{
public:
    /// Starts to listen.
    LeafStandIn(std::uint16_t controlPort, HistoryStore store, const std::string &historyPath = {});
    ~LeafStandIn();
    LeafStandIn(const LeafStandIn &) = delete;
    auto operator=(const LeafStandIn &) -> LeafStandIn & = delete;

    /// Adds a leaf; the settings are the keys of applyBehaviour(), "port" and "connections". Returns the leaf's port, or an error that names the invalid key.
    [[nodiscard]] auto add(nlohmann::json settings) -> absl::StatusOr<std::uint16_t>;

    [[nodiscard]] auto controlPort() const noexcept -> std::uint16_t;

private:
    auto control(Exchange &exchange) -> void;
    auto find(const std::string &leaf) -> LeafServer *;

    LoopThread thread;
    History history;
    struct Member;
    std::vector<std::unique_ptr<Member>> members;
    std::unique_ptr<HttpServer> controlServer;
};

} // namespace tamarackspan::testkit
