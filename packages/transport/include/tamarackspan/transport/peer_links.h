#pragma once

#include "tamarackspan/transport/link.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace tamarackspan::transport {

/// The links of one loop's thread to and from other hosts. Outgoing links are opened on first use; links without received data are closed after a timeout;
/// heartbeats are sent on all.
class PeerLinks
{
public:
    struct Handlers
    {
        /// A message other than Hello was received; this includes Heartbeat messages.
        std::function<void(const LinkPtr &, wire::MessageT)> onMessage;
        /// A link was lost; messages sent on it may or may not have arrived.
        std::function<void(const LinkPtr &, std::string_view reason)> onDown;
        /// Fills in the contents of this process's heartbeats.
        std::function<void(wire::HeartbeatT &)> fillHeartbeat;
    };

    PeerLinks(EventLoop &loop, LinkIdentity identity, LinkTiming timing, Handlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    auto operator=(const PeerLinks &) -> PeerLinks & = delete;

    /// Returns the outgoing link to a host, opening one if there is none. Returns null if the last one failed less than LinkTiming::reconnectDelay ago or if
    /// the address is invalid.
    [[nodiscard]] auto linkTo(const base::HostId &peer) -> LinkPtr;

    /// Returns whether an outgoing link to the host is up or being opened, without opening one.
    [[nodiscard]] auto isReachable(const base::HostId &peer) const -> bool;

    /// Returns whether the host has announced on any link that it is draining.
    [[nodiscard]] auto isDraining(const base::HostId &peer) const -> bool;

    /// Takes ownership of an incoming connection whose Hello has been read.
    auto adopt(FrameConnection::Detached detached, const wire::HelloT &hello) -> void;

    /// Sets whether Hello and heartbeats announce that this host is draining and gets no new work; a change is sent at once on all links.
    auto setDraining(bool on) -> void;

    /// Returns how many links are open, outgoing and incoming.
    [[nodiscard]] auto openLinks() const -> std::size_t;

private:
    struct Backoff
    {
        absl::Time until;
    };

    [[nodiscard]] auto hello() const -> wire::HelloT;
    auto startLink(const LinkPtr &link) -> void;
    auto onMessage(const LinkPtr &link, wire::MessageT message) -> void;
    auto onHello(const LinkPtr &link, const wire::HelloT &hello) -> void;
    auto drop(const LinkPtr &link, std::string_view reason) -> void;
    auto sendHeartbeats() -> void;
    auto sendHeartbeat(const LinkPtr &link) -> void;
    auto scheduleHeartbeats() -> void;

    EventLoop &loop;
    LinkIdentity identity;
    LinkTiming timing;
    Handlers handlers;
    bool draining = false;
    std::uint64_t heartbeatCount = 0;
    TimerId heartbeatTimer = 0;
    absl::flat_hash_map<base::HostId, LinkPtr> outgoing;
    absl::flat_hash_set<LinkPtr> incoming;
    absl::flat_hash_map<base::HostId, Backoff> backoffs;
};

} // namespace tamarackspan::transport
