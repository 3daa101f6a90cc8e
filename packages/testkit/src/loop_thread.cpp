#include "tamarackspan/testkit/loop_thread.h"

#include <csignal>
#include <future>

namespace tamarackspan::testkit {

namespace {

auto stopSignals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

LoopThread::LoopThread()
    : thread([this] {
          this->eventLoop.run();
      })
{
}

LoopThread::~LoopThread()
{
    this->eventLoop.stop();
    this->thread.join();
}

auto LoopThread::loop() noexcept -> transport::EventLoop &
{
    return this->eventLoop;
}

auto LoopThread::runAndWait(const std::function<void()> &task) -> void
{
    auto done = std::promise<void>();
    this->eventLoop.post([&task, &done] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

auto blockStopSignals() -> void
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

auto waitForStopSignal() -> void
{
    const auto signals = stopSignals();
    auto received = 0;
    sigwait(&signals, &received);
}

} // namespace tamarackspan::testkit
