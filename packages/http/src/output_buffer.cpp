#include "impl/output_buffer.h"

#include <cerrno>
#include <sys/socket.h>

namespace tamarackspan::http::impl {

namespace {

/// Buffers up to this size keep their memory for the next message; a connection that once sent a larger one would otherwise hold it while idle.
constexpr auto keptBytes = std::size_t{64} * 1024;

} // namespace

auto OutputBuffer::append(std::string_view more) -> void
{
    this->bytes.append(more);
}

auto OutputBuffer::writeTo(int fd) -> Progress
{
    while (this->written < this->bytes.size()) {
        const auto sent = ::send(fd, this->bytes.data() + this->written, this->bytes.size() - this->written, MSG_NOSIGNAL);
        if (sent < 0) {
            const auto reported = errno;
            if (reported == EINTR) {
                continue;
            }
            this->release();
            if (reported == EAGAIN) {
                return Progress::Blocked;
            }
            this->firstError = this->firstError == 0 ? reported : this->firstError;
            return Progress::Failed;
        }
        this->anyWritten = true;
        this->written += static_cast<std::size_t>(sent);
    }
    this->release();
    return Progress::Done;
}

auto OutputBuffer::error() const noexcept -> int
{
    return this->firstError;
}

auto OutputBuffer::release() -> void
{
    if (this->written == this->bytes.size()) {
        this->bytes.clear();
        if (this->bytes.capacity() > keptBytes) {
            this->bytes.shrink_to_fit();
        }
        this->written = 0;
    } else if (this->written > keptBytes && this->written > this->bytes.size() / 2) {
        this->bytes = this->bytes.substr(this->written);
        this->written = 0;
    }
}

auto OutputBuffer::empty() const noexcept -> bool
{
    return this->bytes.empty();
}

auto OutputBuffer::pending() const noexcept -> std::size_t
{
    return this->bytes.size() - this->written;
}

auto OutputBuffer::held() const noexcept -> std::size_t
{
    return this->bytes.size();
}

auto OutputBuffer::begun() const noexcept -> bool
{
    return this->anyWritten;
}

} // namespace tamarackspan::http::impl
