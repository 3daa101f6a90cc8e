#include "tamarackspan/daemon/platform_reader.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/logging/logger.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("platform");

constexpr auto maxResponseBytes = std::size_t{8} << 20U;
/// Enough for three watches and the fetches of one plan.
constexpr auto platformConnections = std::uint32_t{12};

struct PlatformList
{
    base::Revision revision;
    std::vector<configuration::ListedKey> keys;
};

auto readList(const http::Response &response) -> std::optional<PlatformList>
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.outcome != http::Outcome::Ok || response.status != 200 || !json.is_object()) {
        return std::nullopt;
    }
    const auto revision = json.find("revision");
    const auto keys = json.find("keys");
    if (revision == json.end() || !revision->is_number_unsigned() || keys == json.end() || !keys->is_object()) {
        return std::nullopt;
    }
    auto list = PlatformList();
    list.revision = base::Revision(revision->get<std::uint64_t>());
    for (const auto &[key, value] : keys->items()) {
        if (value.is_number_unsigned()) {
            list.keys.push_back({key, base::Revision(value.get<std::uint64_t>())});
        }
    }
    return list;
}

auto revisionHeader(const http::Response &response) -> std::optional<base::Revision>
{
    const auto *text = http::findHeader(response.headers, "Platform-Revision");
    auto number = std::uint64_t{0};
    if (response.outcome != http::Outcome::Ok || response.status != 200 || text == nullptr || !absl::SimpleAtoi(*text, &number)) {
        return std::nullopt;
    }
    return base::Revision(number);
}

} // namespace

PlatformReader::PlatformReader(transport::EventLoop &loop, Options options, configuration::ReadPlan &plan, const configuration::DocumentStore &store,
                               Handlers handlers)
    : loop(loop),
      options(std::move(options)),
      plan(plan),
      store(store),
      handlers(std::move(handlers)),
      client(loop, http::ClientOptions()),
      hostListKey("hosts/" + plan.dataCentre.get())
{
}

PlatformReader::~PlatformReader() = default;

auto PlatformReader::poll() -> void
{
    if (this->options.addresses.empty()) {
        return;
    }
    for (const auto &action : configuration::planReads(this->plan, this->store, base::monotonicNow())) {
        if (const auto *list = std::get_if<configuration::ListPrefix>(&action)) {
            this->list(*list);
        } else if (const auto *fetch = std::get_if<configuration::FetchValue>(&action)) {
            this->fetch(*fetch);
        }
    }
}

auto PlatformReader::calls() const noexcept -> std::uint64_t
{
    return this->callCount;
}

auto PlatformReader::lastAnswer() const noexcept -> absl::Time
{
    return this->answeredAt;
}

auto PlatformReader::request(const std::string &path, absl::Duration timeout) -> http::Request
{
    ++this->callCount;
    auto request = http::Request();
    request.pool = this->options.addresses[this->address % this->options.addresses.size()];
    request.url = "http://" + request.pool + path;
    request.timeout = timeout;
    request.maxConnections = platformConnections;
    request.maxResponseBytes = maxResponseBytes;
    return request;
}

auto PlatformReader::list(const configuration::ListPrefix &action) -> void
{
    const auto isHostList = this->hostListKey.starts_with(action.prefix);
    const auto wait = isHostList ? std::min(action.wait, this->options.hostListWait) : action.wait;
    auto path = absl::StrCat("/v1/list?prefix=", action.prefix);
    if (action.after) {
        absl::StrAppend(&path, "&after=", action.after->get(), "&wait_ms=", absl::ToInt64Milliseconds(wait));
    }
    const auto issuedAt = base::monotonicNow();
    this->client.send(this->request(path, wait + this->plan.settings.callTimeout), [this, prefix = action.prefix, issuedAt](const http::Response &response) {
        this->onList(prefix, issuedAt, response);
    });
}

auto PlatformReader::onList(const std::string &prefix, absl::Time issuedAt, const http::Response &response) -> void
{
    const auto list = readList(response);
    const auto now = base::monotonicNow();
    if (!list) {
        this->noteFailure(prefix, response);
        configuration::onListFailed(this->plan, prefix, now);
    } else {
        this->failing = false;
        this->answeredAt = now;
        configuration::onListed(this->plan, this->store, prefix, list->revision, list->keys, now);
        if (this->hostListKey.starts_with(prefix)) {
            this->confirmHostList(issuedAt, list->keys);
        }
    }
    this->poll();
}

auto PlatformReader::confirmHostList(absl::Time issuedAt, const std::vector<configuration::ListedKey> &keys) -> void
{
    const auto held = configuration::highestVersion(this->store, this->hostListKey);
    for (const auto &listed : keys) {
        if (listed.key != this->hostListKey || !held) {
            continue;
        }
        if (held->revision >= listed.revision) {
            this->handlers.onHostListConfirmed(issuedAt);
        } else {
            this->pendingHostListCall = issuedAt;
            this->pendingHostListRevision = listed.revision;
        }
    }
}

auto PlatformReader::fetch(const configuration::FetchValue &action) -> void
{
    this->client.send(this->request("/v1/values/" + action.key, this->plan.settings.callTimeout), [this, key = action.key](const http::Response &response) {
        this->onValue(key, response);
    });
}

auto PlatformReader::onValue(const std::string &key, const http::Response &response) -> void
{
    const auto revision = revisionHeader(response);
    const auto now = base::monotonicNow();
    if (!revision) {
        this->noteFailure(key, response);
        configuration::onValueFailed(this->plan, key, now);
    } else {
        this->answeredAt = now;
        this->handlers.onDocument({key, *revision, response.body});
        configuration::onValue(this->plan, this->store, key, now);
        if (key == this->hostListKey && *revision >= this->pendingHostListRevision && this->pendingHostListCall > absl::InfinitePast()) {
            this->handlers.onHostListConfirmed(std::exchange(this->pendingHostListCall, absl::InfinitePast()));
        }
    }
    this->poll();
}

auto PlatformReader::noteFailure(const std::string &what, const http::Response &response) -> void
{
    if (!std::exchange(this->failing, true)) {
        logger.warning("platform can't be read", {{"what", what}, {"outcome", http::toString(response.outcome)}, {"status", response.status}});
    }
    ++this->address;
}

} // namespace tamarackspan::daemon
