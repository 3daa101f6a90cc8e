#include "tamarackspan/base/require.h"

#include <cstdio>
#include <cstdlib>

namespace tamarackspan::base {

auto require(bool condition, const char *message) noexcept -> void
{
    if (!condition) {
        std::fprintf(stderr, "broken invariant: %s\n", message);
        std::abort();
    }
}

} // namespace tamarackspan::base
