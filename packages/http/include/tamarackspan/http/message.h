#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::http {

/// One header field of a request or response.
struct Header
{
    std::string name;
    std::string value;

    friend auto operator==(const Header &, const Header &) -> bool = default;
};

/// Header fields in the order in which they were sent.
using Headers = std::vector<Header>;

/// Returns the value of the first field of that name (case-insensitive); nullptr if there is none. The pointer is valid as long as the headers are unchanged.
[[nodiscard]] auto findHeader(const Headers &headers, std::string_view name) noexcept -> const std::string *;

/// Returns the fields that a proxy forwards: without hop-by-hop fields and without those that describe how the body is framed.
[[nodiscard]] auto endToEndHeaders(const Headers &headers) -> Headers;

} // namespace tamarackspan::http
