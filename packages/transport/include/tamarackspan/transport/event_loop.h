#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace tamarackspan::transport {

/// Identifies one timer of a loop; 0 is never used for one.
using TimerId = std::uint64_t;

/// A single-threaded epoll loop with timers. All methods but post() and stop() may be called only on the loop's thread, which is the one that calls run(), or
/// on any one thread before run() is called.
class EventLoop
{
public:
    /// Called with the epoll events that are ready on a file descriptor (EPOLLIN and so on).
    using IoHandler = std::function<void(std::uint32_t events)>;
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    /// Watches a file descriptor for the given epoll events, replacing an earlier watch of it. The loop doesn't take ownership of the descriptor.
    auto watch(int fd, std::uint32_t events, IoHandler handler) -> void;

    /// Changes the events for which a watched descriptor is watched.
    auto change(int fd, std::uint32_t events) -> void;

    /// Stops watching a descriptor; does nothing if it isn't watched. Call it before closing the descriptor.
    auto unwatch(int fd) -> void;

    /// Runs a task once, not before the given time of base::monotonicNow(). Events that arrived before that time are handled first, even if the loop is late.
    auto runAt(absl::Time when, Task task) -> TimerId;

    /// Cancels a timer; does nothing if it has already run.
    auto cancelTimer(TimerId timer) -> void;

    /// Runs a task on the loop's thread as soon as possible. Callable from any thread.
    auto post(Task task) -> void;

    /// Handles events until stop() is called. Tasks posted before stop() are still run. May be called again.
    auto run() -> void;

    /// Makes run() return soon. Callable from any thread.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace tamarackspan::transport
