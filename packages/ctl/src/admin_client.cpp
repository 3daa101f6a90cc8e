#include "tamarackspan/ctl/admin_client.h"

#include "tamarackspan/http/client.h"
#include "tamarackspan/transport/endpoint.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <string_view>
#include <utility>

namespace tamarackspan::ctl {

namespace {

constexpr auto answerTimeout = absl::Seconds(5);

} // namespace

auto sendAdminRequest(const std::string &address, const std::string &method, const std::string &path) -> absl::StatusOr<AdminAnswer>
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto loop = transport::EventLoop();
    auto client = http::Client(loop, http::ClientOptions());
    auto request = http::Request();
    request.method = method;
    request.url = absl::StrCat("http://", address, path);
    request.timeout = answerTimeout;
    request.pool = address;
    auto response = http::Response();
    client.send(std::move(request), [&response, &loop](http::Response got) {
        response = std::move(got);
        loop.stop();
    });
    loop.run();
    if (response.outcome != http::Outcome::Ok) {
        return absl::UnavailableError(absl::StrCat(std::string(http::toString(response.outcome)), response.error.empty() ? "" : ": ", response.error));
    }
    return AdminAnswer{response.status, std::move(response.body)};
}

auto percentEncode(const std::string &text) -> std::string
{
    auto escaped = std::string();
    for (const auto character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || std::string_view("-._~").find(character) != std::string_view::npos) {
            escaped += character;
        } else {
            absl::StrAppendFormat(&escaped, "%%%02X", byte);
        }
    }
    return escaped;
}

} // namespace tamarackspan::ctl
