#include "tamarackspan/testkit/platform_server.h"

#include "json_check.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto valuesPath = "/v1/values/";

/// A list call that waits for a newer revision.
struct Watch
{
    std::shared_ptr<Exchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    transport::TimerId timer = 0;
};

} // namespace

struct PlatformServer::State
{
    explicit State(transport::EventLoop &loop)
        : loop(loop)
    {
    }

    transport::EventLoop &loop;
    /// All publications of each key, oldest first.
    std::map<std::string, std::vector<Publication>> publications;
    std::uint64_t revision = 0;
    bool down = false;
    std::optional<std::uint64_t> staleRevision;
    absl::Duration replyDelay = absl::ZeroDuration();
    std::list<std::shared_ptr<Watch>> watches;
    std::uint64_t listCalls = 0;
    std::uint64_t valueCalls = 0;

    [[nodiscard]] auto visibleRevision() const -> std::uint64_t
    {
        return std::min(this->staleRevision.value_or(this->revision), this->revision);
    }

    /// Returns the newest publication of the key at the visible revision, or nullptr if there is none.
    [[nodiscard]] auto visiblePublication(const std::string &key) const -> const Publication *
    {
        const auto found = this->publications.find(key);
        if (found == this->publications.end()) {
            return nullptr;
        }
        const Publication *last = nullptr;
        for (const auto &publication : found->second) {
            if (publication.revision <= this->visibleRevision()) {
                last = &publication;
            }
        }
        return last;
    }

    auto handle(const std::shared_ptr<Exchange> &exchange) -> void
    {
        const auto &request = exchange->request();
        const auto isList = request.path == "/v1/list";
        const auto isValue = absl::StartsWith(request.path, valuesPath);
        if (this->down) {
            exchange->close();
        } else if (request.method != "GET" || (!isList && !isValue)) {
            exchange->reply({.status = 404, .headers = {}, .body = "no such endpoint\n"});
        } else if (isList) {
            ++this->listCalls;
            this->replyOrWatch(exchange);
        } else {
            ++this->valueCalls;
            this->replyWithValue(exchange, std::string(absl::StripPrefix(request.path, valuesPath)));
        }
    }

    auto replyWithValue(const std::shared_ptr<Exchange> &exchange, const std::string &key) -> void
    {
        const auto *publication = this->visiblePublication(key);
        if (publication == nullptr || !publication->value.has_value()) {
            this->reply(exchange, {.status = 404, .headers = {}, .body = "no such key\n"});
            return;
        }
        this->reply(exchange,
                    {.status = 200, .headers = {{.name = "Platform-Revision", .value = absl::StrCat(publication->revision)}}, .body = *publication->value});
    }

    auto replyOrWatch(const std::shared_ptr<Exchange> &exchange) -> void
    {
        const auto &request = exchange->request();
        auto watch = std::make_shared<Watch>();
        watch->exchange = exchange;
        watch->prefix = request.argument("prefix");
        auto waitMillis = std::int64_t{0};
        const auto waits = absl::SimpleAtoi(request.argument("after"), &watch->after) && absl::SimpleAtoi(request.argument("wait_ms"), &waitMillis);
        if (!waits || waitMillis <= 0 || this->hasNewerRevision(*watch)) {
            this->replyWithList(*watch);
            return;
        }
        this->watches.push_back(watch);
        watch->timer = this->loop.runAt(base::monotonicNow() + absl::Milliseconds(waitMillis), [this, watch] {
            this->watches.remove(watch);
            this->replyWithList(*watch);
        });
        exchange->setDisconnectCallback([this, watch] {
            this->loop.cancelTimer(watch->timer);
            this->watches.remove(watch);
        });
    }

    [[nodiscard]] auto hasNewerRevision(const Watch &watch) const -> bool
    {
        return std::any_of(this->publications.begin(), this->publications.end(), [this, &watch](const auto &entry) {
            const auto *publication = absl::StartsWith(entry.first, watch.prefix) ? this->visiblePublication(entry.first) : nullptr;
            return publication != nullptr && publication->revision > watch.after;
        });
    }

    auto replyWithList(const Watch &watch) -> void
    {
        auto keys = Json::object();
        for (const auto &[key, history] : this->publications) {
            const auto *publication = absl::StartsWith(key, watch.prefix) ? this->visiblePublication(key) : nullptr;
            if (publication != nullptr && publication->value.has_value()) {
                keys[key] = publication->revision;
            }
        }
        this->reply(watch.exchange, {.status = 200, .headers = {}, .body = Json{{"revision", this->visibleRevision()}, {"keys", keys}}.dump()});
    }

    auto reply(const std::shared_ptr<Exchange> &exchange, HttpReply reply) -> void
    {
        if (this->replyDelay <= absl::ZeroDuration()) {
            exchange->reply(std::move(reply));
            return;
        }
        this->loop.runAt(base::monotonicNow() + this->replyDelay, [exchange, reply = std::move(reply)] {
            exchange->reply(reply);
        });
    }

    auto answerPendingWatches() -> void
    {
        for (const auto &watch : std::list(this->watches)) {
            if (this->down) {
                this->loop.cancelTimer(watch->timer);
                this->watches.remove(watch);
                watch->exchange->close();
            } else if (this->hasNewerRevision(*watch)) {
                this->loop.cancelTimer(watch->timer);
                this->watches.remove(watch);
                this->replyWithList(*watch);
            }
        }
    }
};

PlatformServer::PlatformServer(transport::EventLoop &loop, HttpServerOptions options)
    : state(std::make_unique<State>(loop)),
      server(loop, options, [this](const std::shared_ptr<Exchange> &exchange) {
          this->state->handle(exchange);
      })
{
}

PlatformServer::~PlatformServer() = default;

auto PlatformServer::port() const noexcept -> std::uint16_t
{
    return this->server.port();
}

auto PlatformServer::publish(const std::string &key, std::optional<std::string> value) -> std::uint64_t
{
    this->state->publications[key].push_back({.revision = ++this->state->revision, .value = std::move(value)});
    this->state->answerPendingWatches();
    return this->state->revision;
}

auto PlatformServer::control(const Json &change) -> absl::Status
{
    if (!change.is_object()) {
        return absl::InvalidArgumentError("expected a JSON object");
    }
    for (const auto &[key, value] : change.items()) {
        const auto wellTyped = (key == "down" && value.is_boolean()) || (key == "stale" && (value.is_null() || impl::isNonNegativeInteger(value)))
            || (key == "slow_ms" && impl::isNonNegativeInteger(value));
        if (!wellTyped) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": unknown key or wrong type"));
        }
    }
    this->state->down = change.value("down", this->state->down);
    this->state->replyDelay = change.contains("slow_ms") ? absl::Milliseconds(change["slow_ms"].get<std::int64_t>()) : this->state->replyDelay;
    if (change.contains("stale")) {
        this->state->staleRevision = change["stale"].is_null() ? std::nullopt : std::optional(change["stale"].get<std::uint64_t>());
    }
    this->state->answerPendingWatches();
    return absl::OkStatus();
}

auto PlatformServer::statistics() const -> Json
{
    return Json{{"reads", this->state->listCalls + this->state->valueCalls},
                {"lists", this->state->listCalls},
                {"values", this->state->valueCalls},
                {"waiting", this->state->watches.size()},
                {"revision", this->state->revision}};
}

} // namespace tamarackspan::testkit
