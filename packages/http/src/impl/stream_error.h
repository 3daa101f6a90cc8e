#pragma once

#include <sys/types.h>

namespace tamarackspan::http::impl {

/// Returns the error that ended a connection's incoming stream, or 0 after an orderly end, which its peer has sent. `received` is the result of the read that
/// found the end, 0 or less, and `readError` its errno. `writeError` is the error of an earlier failed write, 0 if none failed: a failed write clears the
/// socket's pending error, so that later reads return 0 as after an orderly end.
[[nodiscard]] constexpr auto streamError(ssize_t received, int readError, int writeError) noexcept -> int
{
    if (writeError != 0) {
        return writeError;
    }
    return received < 0 ? readError : 0;
}

} // namespace tamarackspan::http::impl
