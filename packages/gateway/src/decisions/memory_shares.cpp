#include "tamarackspan/gateway/decisions/memory_shares.h"

namespace tamarackspan::gateway {

namespace {

/// Parts of the memory. All that a host holds for others is to stay below a half; three tenths for answers leave the rest to requests and leafs' answers. Other
/// hosts read answers at once, so they get the smaller part.
constexpr auto callerPart = std::size_t{5};
constexpr auto neighbourPart = std::size_t{10};
/// One connection may hold an eighth of what all callers may, so that a few that stop reading don't displace the others.
constexpr auto connectionPart = callerPart * 8;

} // namespace

auto memoryShares(std::size_t memoryBytes) noexcept -> MemoryShares
{
    if (memoryBytes == 0) {
        return {};
    }
    return {.callerAnswers = memoryBytes / callerPart, .neighbourAnswers = memoryBytes / neighbourPart, .connectionAnswers = memoryBytes / connectionPart};
}

} // namespace tamarackspan::gateway
