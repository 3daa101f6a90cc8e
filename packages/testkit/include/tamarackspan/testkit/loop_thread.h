#pragma once

#include "tamarackspan/transport/event_loop.h"

#include <functional>
#include <thread>

namespace tamarackspan::testkit {

/// An event loop that runs on a thread of its own until the object is destroyed.
class LoopThread
{
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread &) = delete;
    auto operator=(const LoopThread &) -> LoopThread & = delete;

    [[nodiscard]] auto loop() noexcept -> transport::EventLoop &;

    /// Runs the task on the loop's thread and waits for it. Not callable from the loop's thread.
    auto runAndWait(const std::function<void()> &task) -> void;

private:
    transport::EventLoop eventLoop;
    std::thread thread;
};

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts later, so that waitForStop() gets them; SIGPIPE is ignored.
auto blockStopSignals() -> void;

/// Waits for SIGTERM or SIGINT.
auto waitForStop() -> void;

} // namespace tamarackspan::testkit
