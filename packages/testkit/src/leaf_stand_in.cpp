#include "tamarackspan/testkit/leaf_stand_in.h"

#include "json_check.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <utility>

namespace tamarackspan::testkit {

using Json = nlohmann::json;

struct LeafStandIn::Member
{
    std::string id;
    std::unique_ptr<LeafServer> server;
};

LeafStandIn::LeafStandIn(std::uint16_t controlPort, HistoryStore store, const std::string &historyPath)
    : history(store, historyPath),
      controlServer(std::make_unique<HttpServer>(this->thread.loop(), HttpServerOptions{.port = controlPort, .connectionCap = 0},
                                                 [this](const std::shared_ptr<Exchange> &exchange) {
                                                     this->control(*exchange);
                                                 }))
{
}

LeafStandIn::~LeafStandIn()
{
    this->controlServer.reset();
    for (auto &member : this->members) {
        member->server.reset();
    }
}

auto LeafStandIn::add(Json settings) -> absl::StatusOr<std::uint16_t>
{
    if (!settings.is_object()) {
        return absl::InvalidArgumentError("expected an object with the settings of a leaf");
    }
    auto options = HttpServerOptions();
    for (const auto *key : {"port", "connections"}) {
        if (settings.contains(key) && !impl::isNonNegativeInteger(settings[key])) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": expected a whole number"));
        }
    }
    options.port = settings.value("port", std::uint16_t{0});
    options.connectionCap = settings.value("connections", std::size_t{0});
    settings.erase("port");
    settings.erase("connections");
    auto behaviour = LeafBehaviour();
    const auto status = applyBehaviour(behaviour, settings);
    if (!status.ok()) {
        return status;
    }
    auto member = std::make_unique<Member>();
    member->id = behaviour.id;
    member->server = std::make_unique<LeafServer>(this->thread.loop(), this->history, options, std::move(behaviour));
    const auto port = member->server->port();
    this->thread.runAndWait([this, &member] {
        this->members.push_back(std::move(member));
    });
    return port;
}

auto LeafStandIn::controlPort() const noexcept -> std::uint16_t
{
    return this->controlServer->port();
}

auto LeafStandIn::find(const std::string &leaf) -> LeafServer *
{
    for (const auto &member : this->members) {
        if (member->id == leaf) {
            return member->server.get();
        }
    }
    return nullptr;
}

auto LeafStandIn::control(Exchange &exchange) -> void
{
    const auto &request = exchange.request();
    const auto parts = std::vector<std::string>(absl::StrSplit(request.path, absl::MaxSplits('/', 2)));
    const auto leaf = parts.size() == 3 ? parts[2] : std::string();
    auto *server = this->find(leaf);
    if (request.method == "POST" && parts[1] == "control" && server != nullptr) {
        const auto status = server->control(Json::parse(request.body, nullptr, false));
        exchange.reply({.status = status.ok() ? 200U : 400U, .headers = {}, .body = absl::StrCat(status.message(), "\n")});
    } else if (parts[1] == "history") {
        exchange.reply({.status = 200, .headers = {}, .body = this->history.lines(leaf)});
    } else if (parts[1] == "stats") {
        auto list = Json::array();
        for (const auto &member : this->members) {
            if (leaf.empty() || member->id == leaf) {
                list.push_back(member->server->statistics());
            }
        }
        exchange.reply({.status = 200, .headers = {}, .body = list.dump()});
    } else {
        exchange.reply({.status = 404, .headers = {}, .body = "no such endpoint or leaf\n"});
    }
}

} // namespace tamarackspan::testkit
