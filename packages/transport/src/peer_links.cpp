#include "tamarackspan/transport/peer_links.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/transport/socket.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::transport {

PeerLinks::PeerLinks(EventLoop &loop, LinkIdentity identity, LinkTiming timing, Handlers handlers)
    : loop(loop),
      identity(std::move(identity)),
      timing(timing),
      handlers(std::move(handlers))
{
    this->scheduleHeartbeats();
}

PeerLinks::~PeerLinks()
{
    this->loop.cancelTimer(this->heartbeatTimer);
}

auto PeerLinks::linkTo(const base::HostId &peer) -> LinkPtr
{
    const auto known = this->outgoing.find(peer);
    if (known != this->outgoing.end()) {
        return known->second;
    }
    const auto backoff = this->backoffs.find(peer);
    if (backoff != this->backoffs.end() && base::monotonicNow() < backoff->second.until) {
        return nullptr;
    }
    const auto endpoint = parseEndpoint(peer.get());
    const auto fd = endpoint.ok() ? startConnect(*endpoint) : absl::StatusOr<int>(endpoint.status());
    if (!fd.ok()) {
        this->backoffs[peer] = Backoff{base::monotonicNow() + this->timing.reconnectDelay};
        return nullptr;
    }
    auto link = std::make_shared<Link>();
    link->outgoing = true;
    link->peer = peer;
    link->connection = std::make_shared<FrameConnection>(this->loop, *fd, std::string());
    tuneConnection(*fd, this->timing.silenceTimeout);
    this->outgoing[peer] = link;
    this->startLink(link);
    return link;
}

auto PeerLinks::isReachable(const base::HostId &peer) const -> bool
{
    return this->outgoing.contains(peer);
}

auto PeerLinks::isDraining(const base::HostId &peer) const -> bool
{
    const auto out = this->outgoing.find(peer);
    if (out != this->outgoing.end() && out->second->draining) {
        return true;
    }
    return std::any_of(this->incoming.begin(), this->incoming.end(), [&](const LinkPtr &link) {
        return link->peer == peer && link->draining;
    });
}

auto PeerLinks::adopt(FrameConnection::Detached detached, const wire::HelloT &hello) -> void
{
    auto link = std::make_shared<Link>();
    link->connection = std::make_shared<FrameConnection>(this->loop, detached.fd, std::move(detached.rest));
    tuneConnection(detached.fd, this->timing.silenceTimeout);
    link->helloReceived = true;
    link->peer = base::HostId(hello.host);
    link->incarnation = base::Incarnation(hello.incarnation);
    link->draining = hello.draining;
    this->incoming.insert(link);
    this->startLink(link);
}

auto PeerLinks::setDraining(bool on) -> void
{
    if (std::exchange(this->draining, on) != on) {
        this->sendHeartbeats();
    }
}

auto PeerLinks::openLinks() const -> std::size_t
{
    return this->outgoing.size() + this->incoming.size();
}

auto PeerLinks::hello() const -> wire::HelloT
{
    auto hello = wire::HelloT();
    hello.protocolVersion = wire::protocolVersion;
    hello.host = this->identity.host.get();
    hello.incarnation = this->identity.incarnation.get();
    hello.dataCentre = this->identity.dataCentre.get();
    hello.channel = this->identity.channel;
    hello.draining = this->draining;
    return hello;
}

auto PeerLinks::startLink(const LinkPtr &link) -> void
{
    link->connection->send(wire::encode(this->hello()));
    const auto weak = std::weak_ptr<Link>(link);
    link->connection->start({
        [this, weak](wire::MessageT message) {
            if (const auto locked = weak.lock()) {
                this->onMessage(locked, std::move(message));
            }
        },
        [this, weak](std::string_view reason) {
            if (const auto locked = weak.lock()) {
                this->drop(locked, reason);
            }
        },
    });
}

auto PeerLinks::onMessage(const LinkPtr &link, wire::MessageT message) -> void
{
    if (const auto *hello = message.body.AsHello()) {
        this->onHello(link, *hello);
        return;
    }
    if (const auto *heartbeat = message.body.AsHeartbeat()) {
        link->draining = heartbeat->draining;
    }
    this->handlers.onMessage(link, std::move(message));
}

auto PeerLinks::onHello(const LinkPtr &link, const wire::HelloT &hello) -> void
{
    if (hello.host != link->peer.get()) {
        this->drop(link, "Hello names another host than the one connected to");
        return;
    }
    link->incarnation = base::Incarnation(hello.incarnation);
    link->draining = hello.draining;
    link->helloReceived = true;
    this->backoffs.erase(link->peer);
    link->pendingBytes = 0;
    for (const auto &frame : std::exchange(link->pendingFrames, {})) {
        link->connection->send(frame);
    }
}

auto PeerLinks::drop(const LinkPtr &link, std::string_view reason) -> void
{
    link->connection->close();
    if (link->outgoing) {
        const auto known = this->outgoing.find(link->peer);
        if (known == this->outgoing.end() || known->second != link) {
            return;
        }
        this->outgoing.erase(known);
        this->backoffs[link->peer] = Backoff{base::monotonicNow() + this->timing.reconnectDelay};
    } else if (this->incoming.erase(link) == 0) {
        return;
    }
    this->handlers.onDown(link, reason);
}

auto PeerLinks::sendHeartbeats() -> void
{
    const auto silentBefore = base::monotonicNow() - this->timing.silenceTimeout;
    auto links = std::vector<LinkPtr>(this->incoming.begin(), this->incoming.end());
    for (const auto &[host, link] : this->outgoing) {
        links.push_back(link);
    }
    ++this->heartbeatCount;
    for (const auto &link : links) {
        if (link->connection->lastReceivedAt() < silentBefore) {
            this->drop(link, "no data received within the timeout");
        } else if (link->helloReceived) {
            this->sendHeartbeat(link);
        }
    }
}

auto PeerLinks::sendHeartbeat(const LinkPtr &link) -> void
{
    auto heartbeat = wire::HeartbeatT();
    heartbeat.number = this->heartbeatCount;
    heartbeat.draining = this->draining;
    if (this->handlers.fillHeartbeat) {
        this->handlers.fillHeartbeat(heartbeat);
    }
    link->connection->send(wire::encode(heartbeat));
}

auto PeerLinks::scheduleHeartbeats() -> void
{
    this->heartbeatTimer = this->loop.runAt(base::monotonicNow() + this->timing.heartbeat, [this] {
        this->sendHeartbeats();
        this->scheduleHeartbeats();
    });
}

} // namespace tamarackspan::transport
