#pragma once

#include <cstdint>
#include <vector>

namespace tamarackspan::http::test {

/// A listening socket whose accept queue is full: further connections to it are never established.
class FullServer
{
public:
    FullServer();
    ~FullServer();
    FullServer(const FullServer &) = delete;
    auto operator=(const FullServer &) -> FullServer & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    int listenFd;
    std::uint16_t boundPort = 0;
    std::vector<int> waiting;
};

} // namespace tamarackspan::http::test
