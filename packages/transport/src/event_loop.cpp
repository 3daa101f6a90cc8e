#include "tamarackspan/transport/event_loop.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <limits>
#include <map>
#include <mutex>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackspan::transport {

namespace {

constexpr auto eventsPerWait = 256;

using TimerKey = std::pair<absl::Time, TimerId>;

} // namespace

struct EventLoop::State
{
    int epollFd = -1;
    int wakeFd = -1;
    TimerId lastTimer = 0;
    absl::flat_hash_map<int, std::shared_ptr<IoHandler>> handlers;
    std::map<TimerKey, Task> timers;
    absl::flat_hash_map<TimerId, absl::Time> timerTimes;
    std::mutex mutex;
    std::vector<Task> posted;
    bool stopping = false;

    auto waitMillis() -> int;
    auto runTimers(absl::Time due) -> void;
    auto takePosted() -> std::vector<Task>;
    auto dispatch(const epoll_event &event) -> void;
};

auto EventLoop::State::waitMillis() -> int
{
    if (this->timers.empty()) {
        return -1;
    }
    const auto left = this->timers.begin()->first.first - base::monotonicNow();
    if (left <= absl::ZeroDuration()) {
        return 0;
    }
    return static_cast<int>(std::min<std::int64_t>(absl::ToInt64Milliseconds(left) + 1, INT_MAX));
}

auto EventLoop::State::runTimers(absl::Time due) -> void
{
    // Timers set by these tasks run in the next iteration, so that a task that reschedules itself at once can't starve the descriptors.
    const auto end = this->timers.upper_bound(TimerKey(due, std::numeric_limits<TimerId>::max()));
    auto keys = std::vector<TimerKey>();
    for (auto timer = this->timers.begin(); timer != end; ++timer) {
        keys.push_back(timer->first);
    }
    for (const auto &key : keys) {
        auto node = this->timers.extract(key);
        if (!node.empty()) {
            this->timerTimes.erase(key.second);
            node.mapped()();
        }
    }
}

auto EventLoop::State::takePosted() -> std::vector<Task>
{
    const auto lock = std::lock_guard(this->mutex);
    return std::exchange(this->posted, {});
}

auto EventLoop::State::dispatch(const epoll_event &event) -> void
{
    if (event.data.fd == this->wakeFd) {
        auto count = std::uint64_t{0};
        std::ignore = read(this->wakeFd, &count, sizeof(count));
        return;
    }
    const auto found = this->handlers.find(event.data.fd);
    if (found != this->handlers.end()) {
        const auto handler = found->second;
        (*handler)(event.events);
    }
}

EventLoop::EventLoop()
    : state(std::make_unique<State>())
{
    this->state->epollFd = epoll_create1(EPOLL_CLOEXEC);
    this->state->wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    base::require(this->state->epollFd >= 0 && this->state->wakeFd >= 0, "an event loop needs two descriptors");
    auto event = epoll_event{};
    event.events = EPOLLIN;
    event.data.fd = this->state->wakeFd;
    const auto added = epoll_ctl(this->state->epollFd, EPOLL_CTL_ADD, this->state->wakeFd, &event);
    base::require(added == 0, "an event loop watches its own wake-up");
}

EventLoop::~EventLoop()
{
    close(this->state->wakeFd);
    close(this->state->epollFd);
}

auto EventLoop::watch(int fd, std::uint32_t events, IoHandler handler) -> void
{
    auto event = epoll_event{};
    event.events = events;
    event.data.fd = fd;
    const auto known = this->state->handlers.contains(fd);
    this->state->handlers[fd] = std::make_shared<IoHandler>(std::move(handler));
    if (epoll_ctl(this->state->epollFd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) != 0 && known && errno == ENOENT) {
        // The descriptor was closed and its number reused.
        epoll_ctl(this->state->epollFd, EPOLL_CTL_ADD, fd, &event);
    }
}

auto EventLoop::change(int fd, std::uint32_t events) -> void
{
    auto event = epoll_event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(this->state->epollFd, EPOLL_CTL_MOD, fd, &event);
}

auto EventLoop::unwatch(int fd) -> void
{
    if (this->state->handlers.erase(fd) > 0) {
        epoll_ctl(this->state->epollFd, EPOLL_CTL_DEL, fd, nullptr);
    }
}

auto EventLoop::runAt(absl::Time when, Task task) -> TimerId
{
    const auto id = ++this->state->lastTimer;
    this->state->timers.emplace(TimerKey(when, id), std::move(task));
    this->state->timerTimes.emplace(id, when);
    return id;
}

auto EventLoop::cancelTimer(TimerId timer) -> void
{
    const auto found = this->state->timerTimes.find(timer);
    if (found != this->state->timerTimes.end()) {
        this->state->timers.erase(TimerKey(found->second, timer));
        this->state->timerTimes.erase(found);
    }
}

auto EventLoop::post(Task task) -> void
{
    auto wake = false;
    {
        const auto lock = std::lock_guard(this->state->mutex);
        wake = this->state->posted.empty();
        this->state->posted.push_back(std::move(task));
    }
    if (wake) {
        const auto one = std::uint64_t{1};
        std::ignore = write(this->state->wakeFd, &one, sizeof(one));
    }
}

auto EventLoop::run() -> void
{
    auto events = std::array<epoll_event, eventsPerWait>{};
    for (;;) {
        const auto ready = epoll_wait(this->state->epollFd, events.data(), eventsPerWait, this->state->waitMillis());
        // A timer that becomes due while events are handled runs only after the next poll, since the event whose timeout it is may have arrived in the
        // meantime.
        const auto polledAt = base::monotonicNow();
        for (auto i = 0; i < ready; ++i) {
            this->state->dispatch(events[static_cast<std::size_t>(i)]);
        }
        for (auto &task : this->state->takePosted()) {
            task();
        }
        this->state->runTimers(polledAt);
        const auto lock = std::lock_guard(this->state->mutex);
        if (this->state->stopping && this->state->posted.empty()) {
            this->state->stopping = false;
            return;
        }
    }
}

auto EventLoop::stop() -> void
{
    this->post([this] {
        const auto lock = std::lock_guard(this->state->mutex);
        this->state->stopping = true;
    });
}

} // namespace tamarackspan::transport
