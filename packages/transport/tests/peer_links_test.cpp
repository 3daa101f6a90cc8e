#include "tamarackspan/transport/acceptor.h"
#include "tamarackspan/transport/peer_links.h"
#include "tamarackspan/transport/socket.h"

#include "tamarackspan/base/clock.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace tamarackspan;
using transport::Acceptor;
using transport::EventLoop;
using transport::FrameConnection;
using transport::LinkPtr;
using transport::PeerLinks;

constexpr auto testTiming = transport::LinkTiming{absl::Milliseconds(20), absl::Milliseconds(200), absl::Milliseconds(20)};
constexpr auto loopLimit = absl::Seconds(20);

auto identity(const base::HostId &host, std::uint64_t incarnation) -> transport::LinkIdentity
{
    return {host, base::Incarnation(incarnation), base::DataCentre("a"), wire::Channel::Traffic};
}

/// Two hosts on one loop: the server accepts links and answers each batch.
class PeerLinksTest : public testing::Test
{
protected:
    PeerLinksTest()
        : listenFd(*transport::listenOn({"127.0.0.1", 0})),
          serverHost("127.0.0.1:" + std::to_string(transport::boundPort(this->listenFd))),
          server(this->loop, identity(this->serverHost, 2), testTiming,
                 {[this](const LinkPtr &link, const wire::MessageT &message) {
                      this->echo(link, message);
                  },
                  [](const LinkPtr &, std::string_view) {},
                  {}}),
          acceptor(this->loop, this->listenFd, absl::Milliseconds(100),
                   {[this](FrameConnection::Detached detached, const wire::HelloT &hello) {
                        this->server.adopt(std::move(detached), hello);
                    },
                    [this](std::string_view reason) {
                        this->refusals.emplace_back(reason);
                        this->loop.stop();
                    }}),
          client(this->loop, identity(base::HostId("127.0.0.1:1"), 1), testTiming,
                 {[this](const LinkPtr &link, const wire::MessageT &message) {
                      this->onClientMessage(link, message);
                  },
                  [this](const LinkPtr &, std::string_view reason) {
                      this->lostReasons.emplace_back(reason);
                      this->loop.stop();
                  },
                  {}})
    {
        this->loop.runAt(base::monotonicNow() + loopLimit, [this] {
            this->loop.stop();
        });
    }

    auto echo(const LinkPtr &link, const wire::MessageT &message) -> void
    {
        if (const auto *batch = message.body.AsLeafBatch()) {
            auto reply = wire::LeafReplyT();
            reply.query = batch->query;
            link->send(wire::encode(reply));
        }
    }

    auto onClientMessage(const LinkPtr &link, const wire::MessageT &message) -> void
    {
        if (const auto *reply = message.body.AsLeafReply()) {
            this->replies.push_back(reply->query);
            this->peerIncarnation = link->peerIncarnation();
            this->loop.stop();
        }
        if (const auto *heartbeat = message.body.AsHeartbeat(); heartbeat != nullptr && heartbeat->draining) {
            this->loop.stop();
        }
    }

    auto sendQuery(std::uint64_t query) -> void
    {
        auto batch = wire::LeafBatchT();
        batch.query = query;
        const auto link = this->client.linkTo(this->serverHost);
        ASSERT_NE(link, nullptr);
        EXPECT_TRUE(link->send(wire::encode(batch)));
    }

    EventLoop loop;
    int listenFd;
    base::HostId serverHost;
    std::vector<std::uint64_t> replies;
    std::vector<std::string> lostReasons;
    std::vector<std::string> refusals;
    base::Incarnation peerIncarnation;
    PeerLinks server;
    Acceptor acceptor;
    PeerLinks client;
};

TEST_F(PeerLinksTest, AMessageSentBeforeTheHelloIsDeliveredAfterIt)
{
    this->sendQuery(7);
    this->loop.run();
    EXPECT_EQ(this->replies, std::vector<std::uint64_t>{7});
    EXPECT_EQ(this->peerIncarnation, base::Incarnation(2));
}

TEST_F(PeerLinksTest, DrainingIsAnnouncedAtOnce)
{
    this->sendQuery(1);
    this->loop.run();
    EXPECT_FALSE(this->client.isDraining(this->serverHost));
    this->server.setDraining(true);
    this->loop.run();
    EXPECT_TRUE(this->client.isDraining(this->serverHost));
}

TEST_F(PeerLinksTest, AConnectionOfAnotherProtocolIsRefused)
{
    const auto fd = *transport::startConnect({"127.0.0.1", this->acceptor.port()});
    this->loop.post([fd] {
        std::ignore = send(fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
    });
    this->loop.run();
    EXPECT_EQ(this->refusals, std::vector<std::string>{"wrong protocol"});
    close(fd);
}

TEST_F(PeerLinksTest, AConnectionWithoutHelloIsClosed)
{
    const auto fd = *transport::startConnect({"127.0.0.1", this->acceptor.port()});
    this->loop.run();
    EXPECT_EQ(this->refusals, std::vector<std::string>{"no Hello within the timeout"});
    close(fd);
}

TEST_F(PeerLinksTest, AnUnresponsiveLinkIsClosedAndOthersWork)
{
    // A listener that never responds acts like a connection whose state a middlebox has lost.
    const auto unresponsive = *transport::listenOn({"127.0.0.1", 0});
    const auto unresponsiveHost = base::HostId("127.0.0.1:" + std::to_string(transport::boundPort(unresponsive)));
    ASSERT_NE(this->client.linkTo(unresponsiveHost), nullptr);
    this->loop.run();
    EXPECT_EQ(this->lostReasons, std::vector<std::string>{"no data received within the timeout"});
    EXPECT_EQ(this->client.linkTo(unresponsiveHost), nullptr) << "no reconnection before the backoff has passed";
    this->sendQuery(9);
    this->loop.run();
    EXPECT_EQ(this->replies, std::vector<std::uint64_t>{9});
    close(unresponsive);
}

} // namespace
