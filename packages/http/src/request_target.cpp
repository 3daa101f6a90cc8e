#include "impl/request_target.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace tamarackspan::http::impl {

auto toOriginForm(StreamMessage &request) -> bool
{
    auto scheme = std::string_view();
    for (const auto *const known : {"http://", "https://"}) {
        if (absl::StartsWithIgnoreCase(request.target, known)) {
            scheme = known;
        }
    }
    if (scheme.empty()) {
        return true;
    }
    const auto rest = std::string_view(request.target).substr(scheme.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const auto host = std::string(rest.substr(0, end));
    const auto isHost = [](const Header &header) {
        return absl::EqualsIgnoreCase(header.name, "Host");
    };
    if (host.empty() || host.find('@') != std::string::npos || std::ranges::count_if(request.headers, isHost) != 1) {
        return false;
    }
    std::ranges::find_if(request.headers, isHost)->value = host;
    request.target = absl::StrCat(rest.substr(end).starts_with('/') ? "" : "/", std::string(rest.substr(end)));
    return true;
}

} // namespace tamarackspan::http::impl
