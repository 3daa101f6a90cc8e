#pragma once

#include <cstdint>
#include <string>

namespace tamarackspan::http::impl {

/// Returns the status line of an HTTP/1.1 response, including its line end.
[[nodiscard]] auto statusLine(std::uint32_t status) -> std::string;

} // namespace tamarackspan::http::impl
