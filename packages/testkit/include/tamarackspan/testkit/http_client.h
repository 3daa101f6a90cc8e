#pragma once

#include "tamarackspan/testkit/http_server.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One reply as the client received it. Header names are in lower case.
struct HttpResult
{
    std::uint32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    friend auto operator==(const HttpResult &, const HttpResult &) -> bool = default;
};

/// Sends one request on a new connection and waits for the reply. Returns an error with the reason if no reply was received.
[[nodiscard]] auto httpSend(const std::string &method, const std::string &url, const std::vector<HttpHeader> &headers = {}, const std::string &body = {},
                            absl::Duration timeout = absl::Seconds(10)) -> absl::StatusOr<HttpResult>;

/// Sends a GET request like httpSend().
[[nodiscard]] auto httpGet(const std::string &url) -> absl::StatusOr<HttpResult>;

/// Sends a POST request like httpSend().
[[nodiscard]] auto httpPost(const std::string &url, const std::string &body) -> absl::StatusOr<HttpResult>;

} // namespace tamarackspan::testkit
