#include "impl/status_line.h"

#include "absl/strings/str_cat.h"

#include <http_parser.h>

namespace tamarackspan::http::impl {

auto statusLine(std::uint32_t status) -> std::string
{
    return absl::StrCat("HTTP/1.1 ", status, " ", http_status_str(static_cast<http_status>(status)), "\r\n");
}

} // namespace tamarackspan::http::impl
