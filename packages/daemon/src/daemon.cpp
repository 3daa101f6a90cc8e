#include "tamarackspan/daemon/daemon.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/admin_api.h"
#include "tamarackspan/daemon/admission_gate.h"
#include "tamarackspan/daemon/caller_api.h"
#include "tamarackspan/daemon/control.h"
#include "tamarackspan/daemon/traffic_threads.h"
#include "tamarackspan/http/server.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/transport/socket.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("host");

constexpr auto gateInterval = absl::Milliseconds(2);
/// Used while no request is queued: a newly queued request is looked at after no more than this.
constexpr auto idleGateInterval = absl::Milliseconds(20);
constexpr auto idlePollInterval = absl::Milliseconds(20);
/// The longest that a planned stop waits for running requests, in addition to the drain wait and the lifetime of the last ticket.
constexpr auto maxIdleWait = absl::Seconds(60);
constexpr auto callerThreads = std::uint32_t{2};
constexpr auto adminThreads = std::uint32_t{1};
constexpr auto callerConnections = std::uint32_t{4000};
constexpr auto adminConnections = std::uint32_t{64};

auto linkTiming(const configuration::Timing &timing) -> transport::LinkTiming
{
    return {timing.heartbeat, timing.peerTimeout, timing.heartbeat / 2};
}

auto ticketOptions(absl::Duration ticketLife) -> execution::TicketBookOptions
{
    auto options = execution::TicketBookOptions();
    options.ticketLife = ticketLife;
    return options;
}

auto serverOptions(const std::string &address, std::uint32_t threads, std::uint32_t connections) -> absl::StatusOr<http::ServerOptions>
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto options = http::ServerOptions();
    options.ip = endpoint->ip;
    options.port = endpoint->port;
    options.threads = threads;
    options.maxConnections = connections;
    return options;
}

auto checkServer(const http::Server &server, const std::string &address) -> absl::Status
{
    return server.error().empty() ? absl::OkStatus() : absl::UnavailableError(absl::StrCat("can't serve on ", address, ": ", server.error()));
}

} // namespace

struct Daemon::Parts
{
    Parts(const configuration::HostSettings &settings, std::function<void()> requestStop)
        : settings(settings),
          identity{settings.host.innerAddress, makeIncarnation(), settings.host.dataCentre},
          accounting(this->identity.incarnation),
          gate(admission::AdmissionConfig()),
          traffic(settings.host.trafficThreads, this->identity, linkTiming(settings.timing), this->lease, this->accounting,
                  ticketOptions(settings.timing.ticketLife)),
          control(this->controlLoop, settings, this->identity, this->lease, this->gate, this->accounting,
                  {[this](const ControlViewPtr &view) {
                       this->views.set(view);
                       this->traffic.updateView(view);
                   },
                   [this](transport::FrameConnection::Detached detached, wire::HelloT hello) {
                       this->traffic.adopt(std::move(detached), std::move(hello));
                   },
                   [this](bool accepts) {
                       this->traffic.setAcceptsLeafRequests(accepts);
                   }}),
          callerApi(this->views, this->gate, this->traffic, this->accounting),
          adminApi(this->controlLoop, this->control, this->accounting, std::move(requestStop))
    {
    }

    auto tickGate() -> void
    {
        const auto stillWaiting = this->gate.tick();
        this->controlLoop.runAt(base::monotonicNow() + (stillWaiting ? gateInterval : idleGateInterval), [this] {
            this->tickGate();
        });
    }

    auto checkIdle() -> bool
    {
        struct Answer
        {
            std::mutex mutex;
            std::condition_variable changed;
            bool known = false;
            bool idle = false;
        };
        const auto answer = std::make_shared<Answer>();
        this->traffic.checkIdle([answer](bool idle) {
            const auto lock = std::lock_guard(answer->mutex);
            answer->known = true;
            answer->idle = idle;
            answer->changed.notify_all();
        });
        auto lock = std::unique_lock(answer->mutex);
        answer->changed.wait(lock, [&answer] {
            return answer->known;
        });
        return answer->idle && this->gate.pending() == 0;
    }

    auto transferCostReports() -> void
    {
        auto done = std::promise<void>();
        this->controlLoop.post([this, &done] {
            this->control.transferCostReports();
            // Lets the event loop run once more, so that the reports are on their way.
            this->controlLoop.runAt(base::monotonicNow() + gateInterval, [&done] {
                done.set_value();
            });
        });
        done.get_future().wait();
    }

    configuration::HostSettings settings;
    HostIdentity identity;
    Lease lease;
    Accounting accounting;
    ControlViewHolder views;
    AdmissionGate gate;
    transport::EventLoop controlLoop;
    TrafficThreads traffic;
    Control control;
    CallerApi callerApi;
    AdminApi adminApi;
    std::unique_ptr<http::Server> callerServer;
    std::unique_ptr<http::Server> adminServer;
    std::thread controlThread;
};

auto Daemon::start(const configuration::HostSettings &settings, std::function<void()> requestStop) -> absl::StatusOr<std::unique_ptr<Daemon>>
{
    const auto inner = transport::parseEndpoint(settings.host.innerAddress.get());
    if (!inner.ok()) {
        return inner.status();
    }
    const auto caller = serverOptions(settings.host.callerAddress, callerThreads, callerConnections);
    const auto admin = serverOptions(settings.host.adminAddress, adminThreads, adminConnections);
    if (!caller.ok() || !admin.ok()) {
        return caller.ok() ? admin.status() : caller.status();
    }
    const auto listenFd = transport::listenOn(*inner);
    if (!listenFd.ok()) {
        return listenFd.status();
    }
    auto parts = std::make_unique<Parts>(settings, std::move(requestStop));
    auto *raw = parts.get();
    raw->control.start(*listenFd);
    raw->tickGate();
    raw->controlThread = std::thread([raw] {
        raw->controlLoop.run();
    });
    auto daemon = std::unique_ptr<Daemon>(new Daemon(std::move(parts)));
    raw->adminServer = std::make_unique<http::Server>(*admin, [raw](std::shared_ptr<const http::ServerRequest> request, http::Responder responder) {
        raw->adminApi.handle(std::move(request), std::move(responder));
    });
    if (auto status = checkServer(*raw->adminServer, settings.host.adminAddress); !status.ok()) {
        return status;
    }
    raw->callerServer = std::make_unique<http::Server>(*caller, [raw](const std::shared_ptr<const http::ServerRequest> &request, http::Responder responder) {
        raw->callerApi.handle(*request, std::move(responder));
    });
    if (auto status = checkServer(*raw->callerServer, settings.host.callerAddress); !status.ok()) {
        return status;
    }
    logger.info("started",
                {{"host", settings.host.innerAddress.get()},
                 {"data_centre", settings.host.dataCentre.get()},
                 {"incarnation", absl::StrCat(absl::Hex(raw->identity.incarnation.get()))}});
    return daemon;
}

Daemon::Daemon(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

Daemon::~Daemon()
{
    this->parts->callerServer.reset();
    this->parts->adminServer.reset();
    if (this->parts->controlThread.joinable()) {
        this->parts->controlLoop.stop();
        this->parts->controlThread.join();
    }
}

auto Daemon::stop() -> void
{
    auto &host = *this->parts;
    logger.info("planned stop begins", {{"drain_wait_ms", absl::ToInt64Milliseconds(host.settings.timing.drainWait)}});
    host.controlLoop.post([&host] {
        host.control.startDraining();
    });
    host.callerServer->startDraining();
    absl::SleepFor(host.settings.timing.drainWait);
    host.callerServer->stopAccepting();
    host.traffic.stopIssuing();
    const auto giveUpAt = base::monotonicNow() + host.settings.timing.ticketLife + maxIdleWait;
    auto idle = host.checkIdle();
    while (!idle && base::monotonicNow() < giveUpAt) {
        absl::SleepFor(idlePollInterval);
        idle = host.checkIdle();
    }
    host.callerApi.refuseAll();
    host.transferCostReports();
    host.callerServer->stop();
    logger.info("planned stop ends", {{"idle", idle ? "yes" : "no"}});
}

} // namespace tamarackspan::daemon
