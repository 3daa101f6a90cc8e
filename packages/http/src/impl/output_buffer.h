#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackspan::http::impl {

/// Bytes waiting to be written to a non-blocking socket.
class OutputBuffer
{
public:
    enum class Progress {
        /// Everything has been written.
        Done,
        /// The socket's send buffer is full.
        Blocked,
        /// The connection has failed.
        Failed,
    };

    /// Appends bytes.
    auto append(std::string_view bytes) -> void;

    /// Writes as much as the socket accepts; never raises SIGPIPE.
    [[nodiscard]] auto writeTo(int fd) -> Progress;

    [[nodiscard]] auto empty() const noexcept -> bool;

    /// Returns whether any byte has been written since construction.
    [[nodiscard]] auto begun() const noexcept -> bool;

private:
    std::string bytes;
    std::size_t written = 0;
    bool anyWritten = false;
};

} // namespace tamarackspan::http::impl
