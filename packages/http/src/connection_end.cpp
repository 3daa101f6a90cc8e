#include "tamarackspan/http/connection_end.h"

#include <system_error>

namespace tamarackspan::http {

auto isCutOff(const ConnectionEnd &end) noexcept -> bool
{
    return end.receivedBytes > 0;
}

auto errorText(const ConnectionEnd &end) -> std::string
{
    return end.systemError == 0 ? "orderly end" : std::generic_category().message(end.systemError);
}

} // namespace tamarackspan::http
