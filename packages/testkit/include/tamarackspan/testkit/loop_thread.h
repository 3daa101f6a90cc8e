#pragma once

#include "tamarackspan/transport/event_loop.h"

#include <functional>
#include <thread>

namespace tamarackspan::testkit {

/// An event loop that runs on its own thread until the object is destroyed.
class LoopThread
{
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread &) = delete;
    auto operator=(const LoopThread &) -> LoopThread & = delete;

    [[nodiscard]] auto loop() noexcept -> transport::EventLoop &;

    /// Runs the task on the loop's thread and waits until it has finished. Must not be called from the loop's thread.
    auto runAndWait(const std::function<void()> &task) -> void;

private:
    transport::EventLoop eventLoop;
    std::thread thread;
};

/// Blocks SIGTERM and SIGINT in the calling thread and the threads that it starts later, so that waitForStopSignal() receives them; SIGPIPE is ignored.
auto blockStopSignals() -> void;

/// Waits for SIGTERM or SIGINT.
auto waitForStopSignal() -> void;

} // namespace tamarackspan::testkit
