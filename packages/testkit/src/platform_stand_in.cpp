#include "tamarackspan/testkit/platform_stand_in.h"

#include "absl/strings/str_cat.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

/// Maximum size of a value, in bytes.
constexpr auto maxValueBytes = std::size_t{1} << 20;

} // namespace

PlatformStandIn::PlatformStandIn(std::uint16_t port, std::uint16_t controlPort)
    : server(std::make_unique<PlatformServer>(this->thread.loop(), HttpServerOptions{.port = port, .connectionCap = 0})),
      controlServer(std::make_unique<HttpServer>(this->thread.loop(), HttpServerOptions{.port = controlPort, .connectionCap = 0},
                                                 [this](const std::shared_ptr<Exchange> &exchange) {
                                                     this->control(*exchange);
                                                 }))
{
}

PlatformStandIn::~PlatformStandIn()
{
    this->controlServer.reset();
    this->server.reset();
}

auto PlatformStandIn::publishFolder(const std::string &folder) -> absl::Status
{
    auto values = std::map<std::string, std::string>();
    auto error = std::error_code();
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder, error)) {
        if (entry.path().extension() != ".toml") {
            continue;
        }
        const auto key = std::filesystem::relative(entry.path(), folder).replace_extension().string();
        auto text = std::ostringstream();
        text << std::ifstream(entry.path()).rdbuf();
        values[key] = text.str();
    }
    if (error) {
        return absl::NotFoundError(absl::StrCat(folder, ": ", error.message()));
    }
    this->thread.runAndWait([this, &values] {
        for (const auto &[key, value] : values) {
            this->server->publish(key, value);
        }
    });
    return absl::OkStatus();
}

auto PlatformStandIn::port() const noexcept -> std::uint16_t
{
    return this->server->port();
}

auto PlatformStandIn::controlPort() const noexcept -> std::uint16_t
{
    return this->controlServer->port();
}

auto PlatformStandIn::control(Exchange &exchange) -> void
{
    const auto &request = exchange.request();
    if (request.method == "GET" && request.path == "/stats") {
        exchange.reply({.status = 200, .headers = {}, .body = this->server->statistics().dump()});
    } else if (request.method == "POST" && request.path == "/control") {
        const auto status = this->change(Json::parse(request.body, nullptr, false));
        const auto body = status.ok() ? this->server->statistics().dump() : absl::StrCat(status.message(), "\n");
        exchange.reply({.status = status.ok() ? 200U : 400U, .headers = {}, .body = body});
    } else {
        exchange.reply({.status = 404, .headers = {}, .body = "no such endpoint\n"});
    }
}

auto PlatformStandIn::change(const Json &change) -> absl::Status
{
    if (change.is_object() && change.contains("publish")) {
        const auto &publish = change["publish"];
        if (!publish.is_object() || !publish.contains("key") || !publish.contains("value") || !publish["key"].is_string() || !publish["value"].is_string()) {
            return absl::InvalidArgumentError("publish: expected a key and a value, both text");
        }
        auto value = publish["value"].get<std::string>();
        if (value.size() > maxValueBytes) {
            return absl::InvalidArgumentError("publish: the value is larger than 1 MiB");
        }
        this->server->publish(publish["key"].get<std::string>(), std::move(value));
        return absl::OkStatus();
    }
    if (change.is_object() && change.contains("remove") && change["remove"].is_string()) {
        this->server->publish(change["remove"].get<std::string>(), std::nullopt);
        return absl::OkStatus();
    }
    return this->server->control(change);
}

} // namespace tamarackspan::testkit
