#pragma once

#include "tamarackspan/transport/frame_connection.h"

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace tamarackspan::transport {

/// Accepts connections from peers on one loop's thread and reads their Hello. A connection that doesn't send a valid Hello within the timeout is closed.
class Acceptor
{
public:
    struct Handlers
    {
        /// A peer has sent its Hello; the callee now owns the connection.
        std::function<void(FrameConnection::Detached, wire::HelloT)> onPeer;
        /// A connection was refused and closed.
        std::function<void(std::string_view reason)> onRefused;
    };

    /// The maximum number of connections that may await their Hello at once; further ones are closed as soon as they are accepted.
    static constexpr auto maxPending = std::size_t{1024};

    /// Takes ownership of a listening socket.
    Acceptor(EventLoop &loop, int listenFd, absl::Duration helloTimeout, Handlers handlers);
    ~Acceptor();
    Acceptor(const Acceptor &) = delete;
    auto operator=(const Acceptor &) -> Acceptor & = delete;

    /// Returns the port that the acceptor listens on.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Pending
    {
        std::shared_ptr<FrameConnection> connection;
        TimerId timer = 0;
    };

    auto acceptAll() -> void;
    auto awaitHello(int fd) -> void;
    auto onFirstMessage(const std::shared_ptr<Pending> &pending, wire::MessageT message) -> void;
    auto refuse(const std::shared_ptr<Pending> &pending, std::string_view reason) -> void;

    EventLoop &loop;
    int listenFd;
    absl::Duration helloTimeout;
    Handlers handlers;
    absl::flat_hash_set<std::shared_ptr<Pending>> pendings;
};

} // namespace tamarackspan::transport
