#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackspan::http::impl {

/// Bytes waiting to be written to a non-blocking socket. Memory of written bytes is released once they are more than half of a large buffer.
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

    /// Returns the system's error (errno) of the first write that failed; 0 if none has.
    [[nodiscard]] auto error() const noexcept -> int;

    [[nodiscard]] auto empty() const noexcept -> bool;

    /// Returns how many bytes are still to be written.
    [[nodiscard]] auto pending() const noexcept -> std::size_t;

    /// Returns how many bytes are held in memory: the pending ones and written ones that haven't been released yet.
    [[nodiscard]] auto held() const noexcept -> std::size_t;

    /// Returns whether any byte has been written since construction.
    [[nodiscard]] auto begun() const noexcept -> bool;

private:
    auto release() -> void;

    std::string bytes;
    std::size_t written = 0;
    bool anyWritten = false;
    int firstError = 0;
};

} // namespace tamarackspan::http::impl
