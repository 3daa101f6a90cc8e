#include "tamarackspan/gateway/gateway_host.h"

#include "impl/host.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::gateway {

namespace {

constexpr auto cannotServe = 4;

/// The write end of the pipe through which signals reach the loop; written by the handler only.
volatile std::sig_atomic_t signalPipe = -1;

auto onSignal(int signal) -> void
{
    const auto byte = static_cast<char>(signal);
    std::ignore = ::write(signalPipe, &byte, 1);
}

auto installHandlers(int pipe) -> void
{
    signalPipe = pipe;
    struct sigaction action = {};
    action.sa_handler = &onSignal;
    for (const auto signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaction(signal, &action, nullptr);
    }
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

} // namespace

auto runGatewayHost(transport::EventLoop &loop, const GatewayHostSettings &settings, GatewayPorts ports) -> int
{
    auto pipe = std::array<int, 2>();
    if (::pipe2(pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return cannotServe;
    }
    installHandlers(pipe[1]);
    auto host = impl::Host(loop, settings, std::move(ports));
    if (!host.start()) {
        return cannotServe;
    }
    loop.watch(pipe[0], EPOLLIN, [&host, &pipe](std::uint32_t) {
        auto signal = char{0};
        while (::read(pipe[0], &signal, 1) == 1) {
            host.onSignalByte(signal);
        }
    });
    loop.run();
    loop.unwatch(pipe[0]);
    return 0;
}

} // namespace tamarackspan::gateway
