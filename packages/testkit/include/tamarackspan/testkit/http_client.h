#pragma once

#include "tamarackspan/testkit/http_server.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One reply as a client reads it. Header names are in lower case.
struct HttpResult
{
    std::uint32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    friend auto operator==(const HttpResult &, const HttpResult &) -> bool = default;
};

/// Sends one request on a connection of its own and waits for the reply. The error says why there was none.
[[nodiscard]] auto httpSend(const std::string &method, const std::string &url, const std::vector<HttpHeader> &headers = {}, const std::string &body = {},
                            absl::Duration timeout = absl::Seconds(10)) -> absl::StatusOr<HttpResult>;

/// Sends a GET as httpSend does.
[[nodiscard]] auto httpGet(const std::string &url) -> absl::StatusOr<HttpResult>;

/// Sends a POST as httpSend does.
[[nodiscard]] auto httpPost(const std::string &url, const std::string &body) -> absl::StatusOr<HttpResult>;

} // namespace tamarackspan::testkit
