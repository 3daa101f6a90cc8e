#include "raw_socket.h"
#include "test_loop.h"

#include "tamarackspan/http/server.h"

#include "absl/time/clock.h"

#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace tamarackspan::http;
using test::connectTo;
using test::readMessage;
using test::sendAll;

constexpr auto callers = 12;

/// What the callers of a stopping server observed.
struct CallerCounts
{
    std::atomic<int> answered = 0;
    std::atomic<int> failed = 0;
    std::atomic<int> refused = 0;
};

/// Sends requests over keep-alive connections, reconnecting when the server closes one, until the server refuses connections.
auto callUntilRefused(std::uint16_t port, CallerCounts &counts, absl::Duration pause) -> void
{
    while (true) {
        const auto fd = connectTo(port);
        if (fd < 0) {
            ++counts.refused;
            return;
        }
        auto open = true;
        while (open) {
            sendAll(fd, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto reply = readMessage(fd);
            ++(reply.starts_with("HTTP/1.1 200") ? counts.answered : counts.failed);
            absl::SleepFor(pause);
            open = !reply.empty() && reply.find("Connection: close") == std::string::npos;
        }
        close(fd);
    }
}

auto answerLater(std::vector<std::thread> &threads, std::mutex &mutex) -> Server::Handler
{
    return [&threads, &mutex](const std::shared_ptr<const ServerRequest> &, Responder responder) {
        const auto lock = std::lock_guard(mutex);
        threads.emplace_back([responder = std::move(responder)]() mutable {
            absl::SleepFor(absl::Milliseconds(2));
            responder.answer({.body = "ok"});
        });
    };
}

class Drain : public testing::TestWithParam<absl::Duration>
{
};

TEST_P(Drain, FailsNoRequestOfCallersThatKeepSending)
{
    for (auto round = 0; round < 3; ++round) {
        auto answers = std::vector<std::thread>();
        auto mutex = std::mutex();
        auto server = Server({.threads = 2, .drainIdleTime = absl::Milliseconds(600)}, answerLater(answers, mutex));
        auto counts = CallerCounts();
        auto threads = std::vector<std::thread>();
        for (auto i = 0; i < callers; ++i) {
            threads.emplace_back([&server, &counts] {
                callUntilRefused(server.port(), counts, GetParam());
            });
        }
        absl::SleepFor(absl::Milliseconds(50 + round));
        server.stop();
        for (auto &thread : threads) {
            thread.join();
        }
        for (auto &thread : answers) {
            thread.join();
        }
        EXPECT_EQ(counts.failed, 0);
        EXPECT_EQ(counts.refused, callers);
        EXPECT_GT(counts.answered, callers);
    }
}

INSTANTIATE_TEST_SUITE_P(Pauses, Drain, testing::Values(absl::ZeroDuration(), absl::Milliseconds(150)));

TEST(DrainLimit, AnswersWhatIsLeftAtItsLimit)
{
    auto kept = std::vector<Responder>();
    auto server = Server({.drainTimeout = absl::Milliseconds(50)}, [&kept](const std::shared_ptr<const ServerRequest> &, Responder responder) {
        kept.push_back(std::move(responder));
    });
    auto loop = test::TestLoop();
    auto response = loop.send(test::requestTo(server.port(), "GET", "/"));
    while (server.counters().requests == 0) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    server.stop();
    EXPECT_EQ(response.get().status, 503);
    kept.at(0).answer({.body = "too late"});
}

TEST(AcceptQueue, ServesConnectionsThatTheSystemHadAcceptedForIt)
{
    auto server = Server({.drainIdleTime = absl::ZeroDuration()}, [](const std::shared_ptr<const ServerRequest> &, Responder responder) {
        responder.answer({.body = "ok"});
    });
    auto fds = std::vector<int>();
    for (auto i = 0; i < 50; ++i) {
        fds.push_back(connectTo(server.port()));
        sendAll(fds.back(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    server.stop();
    for (const auto fd : fds) {
        EXPECT_EQ(readMessage(fd).substr(0, 12), "HTTP/1.1 200");
        close(fd);
    }
    EXPECT_EQ(connectTo(server.port()), -1);
}

} // namespace
