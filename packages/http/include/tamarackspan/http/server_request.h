#pragma once

#include "tamarackspan/http/message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::http {

/// One argument of a query string, decoded.
struct Argument
{
    std::string name;
    std::string value;

    friend auto operator==(const Argument &, const Argument &) -> bool = default;
};

/// A request received by a server.
struct ServerRequest
{
    std::string method{};
    /// Decoded, without the query string.
    std::string path{};
    std::vector<Argument> arguments{};
    Headers headers{};
    std::string body{};

    friend auto operator==(const ServerRequest &, const ServerRequest &) -> bool = default;
};

/// Returns the value of the first argument of that name; nullptr if there is none. The pointer is valid as long as the request.
[[nodiscard]] auto findArgument(const ServerRequest &request, std::string_view name) noexcept -> const std::string *;

/// A response sent by a server.
struct ServerResponse
{
    std::uint32_t status = 200;
    Headers headers{};
    std::string body{};

    friend auto operator==(const ServerResponse &, const ServerResponse &) -> bool = default;
};

} // namespace tamarackspan::http
