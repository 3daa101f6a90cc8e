#pragma once

#include <cstdint>

namespace tamarackspan::http::test {

/// Listens on a loopback port whose connections take little at once, as on a network of small packets and windows: a long request isn't given to the system
/// as a whole before the server reads it.
class NarrowListener
{
public:
    NarrowListener();
    ~NarrowListener();
    NarrowListener(const NarrowListener &) = delete;
    auto operator=(const NarrowListener &) -> NarrowListener & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Waits for the next connection, which the caller owns; returns -1 if none comes within ten seconds.
    [[nodiscard]] auto accept() const -> int;

private:
    int fd;
};

/// Closes a connection with a reset.
auto resetConnection(int fd) -> void;

} // namespace tamarackspan::http::test
