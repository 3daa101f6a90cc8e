#include "tamarackspan/http/message.h"

#include "tamarackspan/http/server_request.h"

#include "absl/strings/match.h"

namespace tamarackspan::http {

auto findHeader(const Headers &headers, std::string_view name) noexcept -> const std::string *
{
    for (const auto &header : headers) {
        if (absl::EqualsIgnoreCase(header.name, absl::string_view(name.data(), name.size()))) {
            return &header.value;
        }
    }
    return nullptr;
}

auto findArgument(const ServerRequest &request, std::string_view name) noexcept -> const std::string *
{
    for (const auto &argument : request.arguments) {
        if (argument.name == name) {
            return &argument.value;
        }
    }
    return nullptr;
}

} // namespace tamarackspan::http
