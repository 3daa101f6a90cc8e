#include "raw_socket.h"

#include "absl/strings/ascii.h"

#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarackspan::http::test {

namespace {

auto bodyLength(const std::string &head) -> std::size_t
{
    const auto lower = absl::AsciiStrToLower(head);
    const auto at = lower.find("content-length:");
    return at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + std::string_view("content-length:").size(), nullptr, 10);
}

auto readSome(int fd, std::string &text) -> bool
{
    auto buffer = std::array<char, 4096>{};
    const auto count = recv(fd, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
}

} // namespace

auto connectTo(std::uint16_t port, int receiveBuffer) -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

auto sendAll(int fd, std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        const auto count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

auto readMessage(int fd) -> std::string
{
    auto text = std::string();
    for (;;) {
        const auto end = text.find("\r\n\r\n");
        if (end != std::string::npos && text.size() >= end + 4 + bodyLength(text.substr(0, end))) {
            return text;
        }
        if (!readSome(fd, text)) {
            return {};
        }
    }
}

auto readToEnd(int fd) -> std::string
{
    auto text = std::string();
    while (readSome(fd, text)) {
    }
    return text;
}

} // namespace tamarackspan::http::test
