#include "tamarackspan/testkit/leaf_server.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto noDeadline = absl::Hours(1);

/// Fault injected into the reply to a request.
enum class Fault {
    None,
    Lost,
    Silent,
    Late,
    Crossed,
};

/// The outcome of a request as the protocol names it, its HTTP status and whether the request ran.
struct Outcome
{
    std::string_view name;
    std::uint32_t status;
    bool ran;

    friend auto operator==(const Outcome &, const Outcome &) -> bool = default;
};

constexpr auto complete = Outcome{"complete", 200, true};
constexpr auto partial = Outcome{"partial", 200, true};
constexpr auto executed = Outcome{"executed", 200, true};
constexpr auto rejected = Outcome{"rejected", 422, false};
constexpr auto notHeld = Outcome{"not-held", 409, false};
constexpr auto shed = Outcome{"shed", 503, false};
constexpr auto drainingOutcome = Outcome{"draining", 503, false};
constexpr auto deadlinePassed = Outcome{"deadline", 504, true};
constexpr auto cancelled = Outcome{"cancelled", 499, true};
constexpr auto failed = Outcome{"failed", 500, false};

/// State of one request from arrival to end.
struct Run
{
    std::shared_ptr<Exchange> exchange;
    std::string request;
    std::uint32_t shard = 0;
    bool execute = false;
    std::uint64_t version = 0;
    std::string marker;
    absl::Time arrived;
    absl::Time started;
    absl::Time deadline;
    /// Whether the request holds a slot.
    bool holdsSlot = false;
    std::size_t slotsAtStart = 0;
    transport::TimerId timer = 0;
    Fault fault = Fault::None;
};

auto faultName(Fault fault) -> const char *
{
    switch (fault) {
    case Fault::None:
        return "sent";
    case Fault::Lost:
        return "lost";
    case Fault::Silent:
        return "silent";
    case Fault::Late:
        return "late";
    case Fault::Crossed:
        return "crossed";
    }
    return "";
}

auto numberOf(const std::string &text) -> std::uint64_t
{
    auto number = std::uint64_t{0};
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

struct LeafServer::State
{
    State(transport::EventLoop &loop, History &history, HttpServerOptions options, LeafBehaviour behaviour)
        : loop(loop),
          history(history),
          connectionCap(options.connectionCap),
          behaviour(std::move(behaviour)),
          random(this->behaviour.seed),
          coldUntil(base::monotonicNow() + this->behaviour.coldPeriod)
    {
    }

    transport::EventLoop &loop;
    History &history;
    const std::size_t connectionCap;
    LeafBehaviour behaviour;
    base::Random random;
    absl::Time coldUntil;
    HttpServer *server = nullptr;
    /// Requests that hold a slot, by request id.
    std::map<std::string, std::shared_ptr<Run>> runs;
    std::size_t activeRequests = 0;
    std::size_t peakActiveRequests = 0;
    std::uint64_t slotViolations = 0;
    std::uint64_t lastExecution = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::int64_t costMicros = 0;
    std::optional<HttpReply> lastReply;

    auto draw(double share) -> bool
    {
        return share > 0 && this->random.unit() < share;
    }

    auto drawFault() -> Fault
    {
        // Every share is drawn for each request, so that changing one share doesn't shift the random sequence of another.
        const auto lost = this->random.unit() < this->behaviour.lostShare;
        const auto silent = this->random.unit() < this->behaviour.silentShare;
        const auto late = this->random.unit() < this->behaviour.lateShare;
        const auto crossed = this->random.unit() < this->behaviour.crossedShare;
        if (lost) {
            return Fault::Lost;
        }
        if (silent) {
            return Fault::Silent;
        }
        if (late) {
            return Fault::Late;
        }
        return crossed ? Fault::Crossed : Fault::None;
    }

    auto drawServiceTime(absl::Time now) -> absl::Duration
    {
        auto time = this->behaviour.meanServiceTime;
        const auto uniform = this->random.unit();
        if (this->behaviour.exponential) {
            time *= -std::log(1 - uniform);
        }
        if (this->random.unit() < this->behaviour.stragglerShare) {
            time *= this->behaviour.stragglerFactor;
        }
        if (now < this->coldUntil) {
            time *= this->behaviour.coldFactor;
        }
        return time;
    }

    auto handle(const std::shared_ptr<Exchange> &exchange) -> void
    {
        const auto &request = exchange->request();
        const auto parts = std::vector<std::string>(absl::StrSplit(request.path, '/'));
        if (request.method == "GET" && request.path == "/v1/status") {
            exchange->reply({.status = 200, .headers = {}, .body = this->status().dump()});
        } else if (request.method == "DELETE" && parts.size() == 4 && parts[2] == "requests") {
            this->cancel(parts[3]);
            exchange->reply({.status = 204, .headers = {}, .body = {}});
        } else if (request.method == "POST" && parts.size() == 5 && parts[2] == "shards" && (parts[4] == "query" || parts[4] == "execute")) {
            this->receiveRequest(exchange, static_cast<std::uint32_t>(numberOf(parts[3])), parts[4] == "execute");
        } else {
            exchange->reply({.status = 404, .headers = {}, .body = "no such endpoint\n"});
        }
    }

    [[nodiscard]] auto status() const -> Json
    {
        if (this->behaviour.status.is_object()) {
            return this->behaviour.status;
        }
        return Json{{"draining", this->behaviour.draining},
                    {"active", this->activeRequests},
                    {"slots", this->behaviour.slots},
                    {"connections", this->server->connections().open},
                    {"index_versions", this->behaviour.indexVersions}};
    }

    auto receiveRequest(const std::shared_ptr<Exchange> &exchange, std::uint32_t shard, bool execute) -> void
    {
        const auto &request = exchange->request();
        const auto now = base::monotonicNow();
        auto run = std::make_shared<Run>();
        run->exchange = exchange;
        run->request = request.header("tamarackspan-request");
        run->shard = shard;
        run->execute = execute;
        run->version = numberOf(request.header("tamarackspan-index-version"));
        run->marker = markerOf(request.body);
        run->arrived = now;
        const auto deadline = request.header("tamarackspan-deadline-ms");
        run->deadline = now + (deadline.empty() ? noDeadline : absl::Milliseconds(numberOf(deadline)));
        exchange->setDisconnectCallback([this, run] {
            this->onClientDisconnected(run);
        });
        if (exchange->firstOnConnection() && this->behaviour.connectDelay > absl::ZeroDuration()) {
            run->timer = this->loop.runAt(now + this->behaviour.connectDelay, [this, run] {
                this->startOrRefuse(run);
            });
        } else {
            this->startOrRefuse(run);
        }
    }

    /// Refuses the request or starts it in a slot.
    auto startOrRefuse(const std::shared_ptr<Run> &run) -> void
    {
        run->timer = 0;
        const auto &held = this->behaviour.indexVersions;
        if (this->draw(this->behaviour.failShare)) {
            this->refuse(run, failed);
        } else if (this->behaviour.draining) {
            this->refuse(run, drainingOutcome);
        } else if (this->draw(this->behaviour.shedShare)) {
            this->refuse(run, shed);
        } else if (!this->behaviour.shards.contains(run->shard) || (!run->execute && std::find(held.begin(), held.end(), run->version) == held.end())) {
            this->refuse(run, notHeld);
        } else if (this->allSlotsBusy()) {
            ++this->slotViolations;
            this->refuse(run, shed, "slots");
        } else {
            this->start(run);
        }
    }

    auto allSlotsBusy() -> bool
    {
        if (this->activeRequests < this->behaviour.slots) {
            return false;
        }
        // A client may close a connection and send its next request before this loop has read the close.
        for (const auto &[request, run] : std::map(this->runs)) {
            run->exchange->checkDisconnected();
        }
        return this->activeRequests >= this->behaviour.slots;
    }

    auto start(const std::shared_ptr<Run> &run) -> void
    {
        const auto now = base::monotonicNow();
        run->holdsSlot = true;
        run->started = now;
        run->fault = this->drawFault();
        run->slotsAtStart = ++this->activeRequests;
        this->peakActiveRequests = std::max(this->peakActiveRequests, this->activeRequests);
        this->runs[run->request] = run;
        const auto end = now + this->drawServiceTime(now);
        const auto inTime = end <= run->deadline || run->fault == Fault::Late;
        run->timer = this->loop.runAt(inTime ? end : run->deadline, [this, run, inTime] {
            run->timer = 0;
            this->finish(run, inTime ? this->drawOutcome(*run) : deadlinePassed);
        });
    }

    auto drawOutcome(const Run &run) -> Outcome
    {
        if (run.execute) {
            return this->draw(this->behaviour.rejectShare) ? rejected : executed;
        }
        return this->draw(this->behaviour.partialShare) ? partial : complete;
    }

    auto refuse(const std::shared_ptr<Run> &run, const Outcome &outcome, const char *violation = "") -> void
    {
        this->record(*run, outcome, 0, 0, violation);
        run->exchange->reply(this->makeReply(*run, outcome, 0, {}));
    }

    auto finish(const std::shared_ptr<Run> &run, const Outcome &outcome) -> void
    {
        const auto cost = this->releaseSlot(*run);
        const auto rows = this->rowsFor(*run, outcome);
        const auto body = run->execute ? this->executionBody(*run, outcome) : this->rowsBody(*run, outcome, rows);
        this->record(*run, outcome, cost, rows, "");
        auto reply = this->makeReply(*run, outcome, cost, body);
        switch (run->fault) {
        case Fault::Lost:
            run->exchange->close();
            return;
        case Fault::Silent:
            return;
        case Fault::Late:
            this->loop.runAt(base::monotonicNow() + this->behaviour.lateDelay, [run, reply] {
                run->exchange->reply(reply);
            });
            return;
        case Fault::Crossed:
            if (this->lastReply.has_value()) {
                std::swap(reply, *this->lastReply);
            } else {
                this->lastReply = reply;
            }
            run->exchange->reply(reply);
            return;
        case Fault::None:
            this->lastReply = reply;
            run->exchange->reply(std::move(reply));
            return;
        }
    }

    /// Releases the slot and returns the time spent, in microseconds.
    auto releaseSlot(Run &run) -> std::int64_t
    {
        run.holdsSlot = false;
        --this->activeRequests;
        this->runs.erase(run.request);
        const auto cost = absl::ToInt64Microseconds(base::monotonicNow() - run.started);
        this->costMicros += cost;
        return cost;
    }

    auto cancel(const std::string &request) -> void
    {
        const auto found = this->runs.find(request);
        if (found != this->runs.end()) {
            const auto run = found->second;
            this->loop.cancelTimer(run->timer);
            this->finish(run, cancelled);
        }
    }

    /// Called when the client closes the connection before the reply.
    auto onClientDisconnected(const std::shared_ptr<Run> &run) -> void
    {
        this->loop.cancelTimer(run->timer);
        if (run->holdsSlot) {
            run->fault = Fault::Lost;
            this->record(*run, cancelled, this->releaseSlot(*run), 0, "");
        }
    }

    [[nodiscard]] auto rowsFor(const Run &run, const Outcome &outcome) const -> std::uint32_t
    {
        if (run.execute || outcome.status != complete.status) {
            return 0;
        }
        return outcome == partial ? this->behaviour.rowsPerShard / 2 : this->behaviour.rowsPerShard;
    }

    [[nodiscard]] auto rowsBody(const Run &run, const Outcome &outcome, std::uint32_t rows) const -> std::string
    {
        const auto map = numberOf(run.exchange->request().header("tamarackspan-map-generation"));
        auto list = Json::array();
        for (auto i = 0U; i < rows; ++i) {
            const auto key = absl::StrCat("s", run.shard, "-v", run.version, "-", i);
            const auto score = static_cast<double>(base::stableHash(key.data(), key.size()) % 1000000) / 1000;
            auto row = Json{{"key", key}, {"score", score}, {"shard", run.shard}, {"version", run.version}, {"map", map}, {"marker", run.marker}};
            if (outcome == partial) {
                row["partial"] = true;
            }
            list.push_back(std::move(row));
        }
        return list.dump();
    }

    auto executionBody(const Run &run, const Outcome &outcome) -> std::string
    {
        if (outcome.ran) {
            ++this->lastExecution;
        }
        const auto ticket = run.exchange->request().header("tamarackspan-ticket");
        return Json{{"marker", run.marker}, {"ticket", ticket}, {"leaf", this->behaviour.id}, {"shard", run.shard}, {"number", this->lastExecution}}.dump();
    }

    [[nodiscard]] auto makeReply(const Run &run, const Outcome &outcome, std::int64_t cost, const std::string &body) const -> HttpReply
    {
        const auto &request = run.exchange->request();
        auto reply = HttpReply{.status = outcome.status, .headers = {}, .body = outcome.status == 200 || outcome.status == 422 ? body : ""};
        const auto add = [&reply](const char *name, std::string value) {
            reply.headers.push_back({.name = absl::StrCat("Tamarackspan-", name), .value = std::move(value)});
        };
        if (outcome == failed) {
            return reply;
        }
        add("Request", run.request);
        add("Shard", absl::StrCat(run.shard));
        add("Outcome", std::string(outcome.name));
        add("Cost-Micros", absl::StrCat(cost));
        add("Index-Version", request.header("tamarackspan-index-version"));
        add("Map-Generation", request.header("tamarackspan-map-generation"));
        add("Index-Versions", absl::StrJoin(this->behaviour.indexVersions, ","));
        if (this->behaviour.draining) {
            add("Draining", "true");
        }
        return reply;
    }

    auto record(const Run &run, const Outcome &outcome, std::int64_t cost, std::uint32_t rows, const char *violation) -> void
    {
        const auto &request = run.exchange->request();
        const auto connections = this->server->connections();
        ++this->outcomes[std::string(outcome.name)];
        this->history.append(Json{{"type", "leaf"},
                                  {"leaf", this->behaviour.id},
                                  {"kind", run.execute ? "execute" : "query"},
                                  {"request", run.request},
                                  {"ticket", request.header("tamarackspan-ticket")},
                                  {"service", request.header("tamarackspan-service")},
                                  {"customer", request.header("tamarackspan-customer")},
                                  {"operation", request.header("tamarackspan-operation")},
                                  {"priority", request.header("tamarackspan-priority")},
                                  {"shard", run.shard},
                                  {"version", run.version},
                                  {"map", numberOf(request.header("tamarackspan-map-generation"))},
                                  {"marker", run.marker},
                                  {"arrived", historyTime(run.arrived)},
                                  {"started", run.started == absl::UnixEpoch() ? 0 : historyTime(run.started)},
                                  {"ended", historyTime(base::monotonicNow())},
                                  {"outcome", outcome.name},
                                  {"ran", outcome.ran},
                                  {"reply", faultName(run.fault)},
                                  {"cost", cost},
                                  {"rows", rows},
                                  {"slots", run.slotsAtStart},
                                  {"slots_cap", this->behaviour.slots},
                                  {"connections_peak", connections.peak},
                                  {"connections_cap", this->connectionCap},
                                  {"violation", violation}});
    }
};

LeafServer::LeafServer(transport::EventLoop &loop, History &history, HttpServerOptions options, LeafBehaviour behaviour)
    : state(std::make_unique<State>(loop, history, options, std::move(behaviour))),
      server(loop, options, [this](const std::shared_ptr<Exchange> &exchange) {
          this->state->handle(exchange);
      })
{
    this->state->server = &this->server;
}

LeafServer::~LeafServer() = default;

auto LeafServer::port() const noexcept -> std::uint16_t
{
    return this->server.port();
}

auto LeafServer::control(const Json &change) -> absl::Status
{
    const auto drainedBefore = this->state->behaviour.draining;
    auto status = applyBehaviour(this->state->behaviour, change);
    if (!status.ok()) {
        return status;
    }
    const auto now = base::monotonicNow();
    if (change.contains("cold_ms")) {
        this->state->coldUntil = now + this->state->behaviour.coldPeriod;
    }
    if (change.contains("seed")) {
        this->state->random = base::Random(this->state->behaviour.seed);
    }
    if (drainedBefore != this->state->behaviour.draining) {
        this->state->history.append(
            Json{{"type", drainedBefore ? "returning" : "leaving"}, {"leaf", this->state->behaviour.id}, {"at", historyTime(now)}, {"by", "leaf"}});
    }
    return absl::OkStatus();
}

auto LeafServer::statistics() const -> Json
{
    const auto counts = this->server.connections();
    return Json{{"leaf", this->state->behaviour.id},
                {"outcomes", this->state->outcomes},
                {"cost_micros", this->state->costMicros},
                {"slots_peak", this->state->peakActiveRequests},
                {"slot_violations", this->state->slotViolations},
                {"connections", counts.open},
                {"connections_peak", counts.peak},
                {"connection_violations", counts.refused}};
}

} // namespace tamarackspan::testkit
