#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/transport/frame_connection.h"
#include "tamarackspan/wire/codec.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::transport {

/// The identity that this process announces on its links.
struct LinkIdentity
{
    base::HostId host;
    base::Incarnation incarnation;
    base::DataCentre dataCentre;
    wire::Channel channel = wire::Channel::Traffic;
};

/// Intervals and timeouts of links.
struct LinkTiming
{
    /// The interval between heartbeats on each link.
    absl::Duration heartbeat = absl::Milliseconds(500);
    /// A link on which nothing was received for this long is closed.
    absl::Duration silenceTimeout = absl::Seconds(2);
    /// After a link to a peer failed, no new one is opened before this time has passed.
    absl::Duration reconnectDelay = absl::Milliseconds(250);
};

/// One connection to or from a peer, before or after the exchange of Hello messages.
class Link
{
public:
    /// True if this process opened the connection.
    [[nodiscard]] auto isOutgoing() const noexcept -> bool
    {
        return this->outgoing;
    }

    /// The peer's host id.
    [[nodiscard]] auto host() const noexcept -> const base::HostId &
    {
        return this->peer;
    }

    /// The peer's incarnation; zero until its Hello has been received.
    [[nodiscard]] auto peerIncarnation() const noexcept -> base::Incarnation
    {
        return this->incarnation;
    }

    /// True if the peer has announced that it is draining.
    [[nodiscard]] auto peerDraining() const noexcept -> bool
    {
        return this->draining;
    }

    /// True if the peer's Hello has been received and the connection is open.
    [[nodiscard]] auto isUp() const noexcept -> bool
    {
        return this->helloReceived && this->connection->isOpen();
    }

    /// Sends a frame; until the peer's Hello is received, the frame is queued. Returns false if the link is closed or too many bytes are queued.
    auto send(std::string frame) -> bool;

private:
    friend class PeerLinks;

    bool outgoing = false;
    bool helloReceived = false;
    bool draining = false;
    base::HostId peer;
    base::Incarnation incarnation;
    std::shared_ptr<FrameConnection> connection;
    std::vector<std::string> pendingFrames;
    std::size_t pendingBytes = 0;
};

using LinkPtr = std::shared_ptr<Link>;

} // namespace tamarackspan::transport
