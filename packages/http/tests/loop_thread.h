#pragma once

#include "tamarackspan/transport/event_loop.h"

#include <functional>
#include <future>
#include <thread>

namespace tamarackspan::http::test {

/// An event loop on a thread of its own.
class LoopThread
{
public:
    transport::EventLoop loop;

    auto start() -> void
    {
        this->thread = std::thread([this] {
            this->loop.run();
        });
    }

    /// Runs a task on the loop and waits for it.
    auto run(const std::function<void()> &task) -> void
    {
        auto done = std::promise<void>();
        this->loop.post([&task, &done] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    auto stop() -> void
    {
        this->loop.stop();
        this->thread.join();
    }

private:
    std::thread thread;
};

} // namespace tamarackspan::http::test
