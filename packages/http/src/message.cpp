#include "tamarackspan/http/message.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

#include "tamarackspan/http/server_request.h"

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

namespace {

constexpr auto hopByHop = std::array<const char *, 10>{"Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
                                                       "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

} // namespace

auto endToEndHeaders(const Headers &headers) -> Headers
{
    auto kept = Headers();
    kept.reserve(headers.size());
    const auto isNamed = [&headers](const Header &header) {
        return std::ranges::any_of(headers, [&header](const Header &connection) {
            return absl::EqualsIgnoreCase(connection.name, "Connection")
                && std::ranges::any_of(std::vector<absl::string_view>(absl::StrSplit(connection.value, ',')), [&header](absl::string_view option) {
                       return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(option), header.name);
                   });
        });
    };
    for (const auto &header : headers) {
        const auto known = std::ranges::any_of(hopByHop, [&header](const char *name) {
            return absl::EqualsIgnoreCase(name, header.name);
        });
        if (!known && !isNamed(header)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace tamarackspan::http
