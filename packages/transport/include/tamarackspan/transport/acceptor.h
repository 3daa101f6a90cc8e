#pragma once

#include "tamarackspan/transport/frame_connection.h"

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace tamarackspan::transport {

/// Accepts connections of peers on one loop's thread and reads their Hello. Whoever doesn't send a good one within the time limit is cut off.
class Acceptor
{
public:
    struct Handlers
    {
        /// A peer has said who it is; the connection is the receiver's from here on.
        std::function<void(FrameConnection::Detached, wire::HelloT)> onPeer;
        /// A connection was turned away.
        std::function<void(std::string_view reason)> onRefused;
    };

    /// Connections that may wait for their Hello at once; more are closed at once.
    static constexpr auto maxPending = std::size_t{1024};

    /// Takes over a listening socket.
    Acceptor(EventLoop &loop, int listenFd, absl::Duration helloLimit, Handlers handlers);
    ~Acceptor();
    Acceptor(const Acceptor &) = delete;
    auto operator=(const Acceptor &) -> Acceptor & = delete;

    /// Returns the port that it listens on.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Pending
    {
        std::shared_ptr<FrameConnection> connection;
        TimerId timer = 0;
    };

    auto acceptAll() -> void;
    auto admit(int fd) -> void;
    auto onFirstMessage(const std::shared_ptr<Pending> &pending, wire::MessageT message) -> void;
    auto forget(const std::shared_ptr<Pending> &pending, std::string_view reason) -> void;

    EventLoop &loop;
    int listenFd;
    absl::Duration helloLimit;
    Handlers handlers;
    absl::flat_hash_set<std::shared_ptr<Pending>> pendings;
};

} // namespace tamarackspan::transport
