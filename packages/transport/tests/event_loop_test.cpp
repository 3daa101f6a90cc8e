#include "tamarackspan/transport/event_loop.h"

#include "tamarackspan/base/clock.h"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using tamarackspan::base::monotonicNow;
using tamarackspan::transport::EventLoop;

TEST(EventLoop, RunsTimersInOrderOfTheirTimes)
{
    auto loop = EventLoop();
    auto order = std::vector<int>();
    const auto start = monotonicNow();
    loop.runAt(start + absl::Milliseconds(20), [&] {
        order.push_back(2);
        loop.stop();
    });
    loop.runAt(start + absl::Milliseconds(5), [&] {
        order.push_back(1);
    });
    const auto cancelled = loop.runAt(start + absl::Milliseconds(7), [&] {
        order.push_back(3);
    });
    loop.cancelTimer(cancelled);
    loop.run();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
    EXPECT_GE(monotonicNow() - start, absl::Milliseconds(20));
}

TEST(EventLoop, ATaskThatReschedulesItselfAtOnceStarvesNeitherTimersNorDescriptors)
{
    auto loop = EventLoop();
    auto fds = std::vector<int>(2);
    ASSERT_EQ(pipe(fds.data()), 0);
    ASSERT_EQ(write(fds[1], "x", 1), 1);
    auto read = false;
    loop.watch(fds[0], EPOLLIN, [&](std::uint32_t) {
        read = true;
        loop.unwatch(fds[0]);
    });
    const auto start = monotonicNow();
    auto waited = false;
    loop.runAt(start + absl::Milliseconds(20), [&] {
        waited = true;
    });
    // The task stops after one second, so that the test also ends if it fails.
    auto served = false;
    auto again = std::function<void()>();
    again = [&] {
        served = read && waited;
        if (served || monotonicNow() - start > absl::Seconds(1)) {
            loop.stop();
        } else {
            loop.runAt(absl::InfinitePast(), again);
        }
    };
    loop.runAt(absl::InfinitePast(), again);
    loop.run();
    EXPECT_TRUE(served);
    close(fds[0]);
    close(fds[1]);
}

TEST(EventLoop, HandlesEventsThatArrivedInTimeBeforeALateTimer)
{
    auto loop = EventLoop();
    auto slow = std::vector<int>(2);
    auto awaited = std::vector<int>(2);
    ASSERT_EQ(pipe(slow.data()), 0);
    ASSERT_EQ(pipe(awaited.data()), 0);
    ASSERT_EQ(write(slow[1], "x", 1), 1);
    auto arrived = false;
    auto arrivedBeforeTimer = false;
    loop.watch(awaited[0], EPOLLIN, [&](std::uint32_t) {
        arrived = true;
        loop.unwatch(awaited[0]);
    });
    // The reply arrives while another event is being handled, and the handling continues until after the timer is due.
    loop.watch(slow[0], EPOLLIN, [&](std::uint32_t) {
        loop.unwatch(slow[0]);
        EXPECT_EQ(write(awaited[1], "x", 1), 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    });
    loop.runAt(monotonicNow() + absl::Milliseconds(10), [&] {
        arrivedBeforeTimer = arrived;
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(arrivedBeforeTimer);
    for (const auto fd : {slow[0], slow[1], awaited[0], awaited[1]}) {
        close(fd);
    }
}

TEST(EventLoop, RunsPostedTasksOfOtherThreadsBeforeItStops)
{
    auto loop = EventLoop();
    auto sum = 0;
    auto other = std::thread([&] {
        for (auto i = 0; i < 1000; ++i) {
            loop.post([&sum] {
                ++sum;
            });
        }
        loop.stop();
    });
    loop.run();
    other.join();
    EXPECT_EQ(sum, 1000);
}

TEST(EventLoop, AHandlerMayUnwatchItsOwnDescriptor)
{
    auto loop = EventLoop();
    auto fds = std::vector<int>(2);
    ASSERT_EQ(pipe(fds.data()), 0);
    auto calls = 0;
    loop.watch(fds[0], EPOLLIN, [&](std::uint32_t) {
        ++calls;
        loop.unwatch(fds[0]);
        loop.stop();
    });
    ASSERT_EQ(write(fds[1], "x", 1), 1);
    loop.run();
    EXPECT_EQ(calls, 1);
    close(fds[0]);
    close(fds[1]);
}

} // namespace
