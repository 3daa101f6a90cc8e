#include "raw_socket.h"
#include "stream_server_loop.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace {

using namespace tamarackspan::http;

constexpr auto megabyte = std::size_t{1024} * 1024;
/// Answers larger than what the system's buffers of a connection hold, so that most of each stays in the process until it is read.
constexpr auto answerBytes = 8 * megabyte;
constexpr auto smallBuffer = 4096;

/// A server whose answers have as many bytes as their target says, callers that don't read them, and what the server reports of that.
struct StreamUnreadTest : ::testing::Test
{
    test::LoopThread thread;
    std::unique_ptr<StreamServer> server;
    std::uint16_t port = 0;
    std::vector<UnreadAnswer> closed;
    std::size_t peak = 0;
    std::vector<int> callers;

    auto SetUp() -> void override
    {
        this->server = std::make_unique<StreamServer>(this->thread.loop, StreamServerLimits{},
                                                      StreamServer::Handlers{.onRequest =
                                                                                 [this](ExchangeId id, const StreamMessage &message, RequestOrigin) {
                                                                                     this->server->answer(
                                                                                         id, {.body = std::string(std::stoul(message.target.substr(1)), 'a')});
                                                                                     this->peak = std::max(this->peak, this->server->unreadBytes());
                                                                                 },
                                                                             .onCallerDisconnected = [](ExchangeId) {},
                                                                             .onUnreadAnswer =
                                                                                 [this](const UnreadAnswer &unread) {
                                                                                     this->closed.push_back(unread);
                                                                                 }});
        this->port = *this->server->listen({.ip = "127.0.0.1", .port = 0});
        this->thread.start();
    }

    void TearDown() override
    {
        this->thread.stop();
        this->server.reset();
        for (const auto caller : this->callers) {
            ::close(caller);
        }
    }

    auto setLimits(UnreadAnswerLimits limits) -> void
    {
        this->thread.run([this, limits] {
            this->server->setUnreadAnswerLimits(limits);
        });
    }

    /// Opens a connection that asks for an answer and reads nothing, and waits until the server has answered.
    auto ask(std::size_t bytes) -> int
    {
        const auto fd = test::connectTo(this->port, smallBuffer);
        this->callers.push_back(fd);
        const auto before = this->answers();
        test::sendAll(fd, "GET /" + std::to_string(bytes) + " HTTP/1.1\r\nHost: h\r\n\r\n");
        while (this->answers() == before) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        // Time held counts, so that callers must differ in it.
        absl::SleepFor(absl::Milliseconds(20));
        return fd;
    }

    auto held() -> std::size_t
    {
        auto bytes = std::size_t{0};
        this->thread.run([&] {
            bytes = this->server->unreadBytes();
        });
        return bytes;
    }

    /// Returns a number that changes with each answer that is held or closed.
    auto answers() -> std::size_t
    {
        auto sum = std::size_t{0};
        this->thread.run([&] {
            sum = this->server->unreadBytes() + this->closed.size() * 1'000 * megabyte;
        });
        return sum;
    }

    /// Reads what comes for at most `bytes` and returns how many came.
    static auto readSome(int fd, std::size_t bytes) -> std::size_t
    {
        auto buffer = std::array<char, 65536>();
        auto total = std::size_t{0};
        while (total < bytes) {
            const auto got = ::recv(fd, buffer.data(), std::min(buffer.size(), bytes - total), 0);
            if (got <= 0) {
                break;
            }
            total += static_cast<std::size_t>(got);
        }
        return total;
    }
};

// Guards against a process that grows without bound, and is killed, when callers don't read their answers.
TEST_F(StreamUnreadTest, UnreadAnswersStayWithinTheTotal)
{
    constexpr auto total = 20 * megabyte;
    this->setLimits({.totalBytes = total});
    for (auto count = 0; count < 12; ++count) {
        this->ask(answerBytes);
        EXPECT_LE(this->held(), total);
    }
    EXPECT_LE(this->peak, total);
    EXPECT_GE(this->closed.size(), 8U);
    for (const auto &unread : this->closed) {
        EXPECT_GT(unread.totalBytes, total);
        EXPECT_GT(unread.bytes, 0U);
    }
    // A small request gets through meanwhile, and the newest answers are still whole for callers that read.
    const auto fd = test::connectTo(this->port);
    test::sendAll(fd, "GET /100 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(test::readMessage(fd).ends_with("\r\n\r\n" + std::string(100, 'a')));
    ::close(fd);
    EXPECT_GT(readSome(this->callers.back(), answerBytes), answerBytes - 1);
}

// Guards against a choice by size or by age alone, which closes a new large answer or an old small one instead of the one that costs most.
TEST_F(StreamUnreadTest, TheConnectionThatHeldMostForLongestIsClosedFirst)
{
    const auto smallAndOld = this->ask(6 * megabyte);
    const auto largeAndOld = this->ask(20 * megabyte);
    absl::SleepFor(absl::Milliseconds(300));
    const auto largestAndNew = this->ask(24 * megabyte);
    const auto before = this->held();
    this->setLimits({.totalBytes = before});
    this->ask(megabyte * 7);
    ASSERT_EQ(this->closed.size(), 1U);
    EXPECT_GE(this->closed[0].heldFor, absl::Milliseconds(300));
    EXPECT_GT(this->closed[0].bytes, 12 * megabyte);
    EXPECT_LT(this->closed[0].bytes, 21 * megabyte);
    EXPECT_GE(readSome(smallAndOld, 6 * megabyte), 6 * megabyte);
    EXPECT_LT(readSome(largeAndOld, 20 * megabyte), 20 * megabyte);
    EXPECT_GE(readSome(largestAndNew, 24 * megabyte), 24 * megabyte);
}

// Guards against one connection that holds a large answer until its idle timeout, and against closing one whose caller reads slowly.
TEST_F(StreamUnreadTest, AConnectionAboveItsLimitIsClosedOnceItsCallerReadsNothing)
{
    this->setLimits({.connectionBytes = megabyte});
    const auto reading = this->ask(answerBytes);
    const auto silent = this->ask(answerBytes);
    auto read = std::size_t{0};
    for (auto count = 0; count < 30; ++count) {
        read += readSome(reading, megabyte / 8);
        absl::SleepFor(absl::Milliseconds(100));
    }
    this->thread.run([this] {
        EXPECT_EQ(this->closed.size(), 1U);
    });
    EXPECT_EQ(read, 30 * megabyte / 8);
    read += readSome(reading, answerBytes - read);
    EXPECT_EQ(read, answerBytes);
    EXPECT_LT(readSome(silent, answerBytes), answerBytes);
}

// Guards against a buffer that keeps the memory of a whole answer until its last byte is read, or afterwards.
TEST_F(StreamUnreadTest, ReadBytesAreReleased)
{
    const auto caller = this->ask(answerBytes);
    const auto whole = this->held();
    EXPECT_GT(whole, answerBytes);
    EXPECT_EQ(readSome(caller, answerBytes * 3 / 4), answerBytes * 3 / 4);
    EXPECT_LT(this->held(), whole / 2);
    std::ignore = readSome(caller, answerBytes / 4);
    absl::SleepFor(absl::Milliseconds(50));
    EXPECT_EQ(this->held(), 0U);
    EXPECT_TRUE(this->closed.empty());
}

} // namespace
