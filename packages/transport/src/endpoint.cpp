#include "tamarackspan/transport/endpoint.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <array>
#include <limits>

namespace tamarackspan::transport {

namespace {

auto isIp(const std::string &text) -> bool
{
    auto address = std::array<unsigned char, sizeof(in6_addr)>{};
    return inet_pton(AF_INET, text.c_str(), address.data()) == 1 || inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
}

} // namespace

auto parseEndpoint(std::string_view text) -> absl::StatusOr<Endpoint>
{
    const auto error = absl::InvalidArgumentError(absl::StrCat("expected \"IP:PORT\", found \"", std::string(text), "\""));
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error;
    }
    auto ip = std::string(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    auto port = std::uint32_t{0};
    const auto digits = std::string(text.substr(colon + 1));
    if (!isIp(ip) || digits.find_first_not_of("0123456789") != std::string::npos || !absl::SimpleAtoi(digits, &port)
        || port > std::numeric_limits<std::uint16_t>::max()) {
        return error;
    }
    return Endpoint{std::move(ip), static_cast<std::uint16_t>(port)};
}

auto toString(const Endpoint &endpoint) -> std::string
{
    const auto isV6 = endpoint.ip.find(':') != std::string::npos;
    return isV6 ? absl::StrCat("[", endpoint.ip, "]:", endpoint.port) : absl::StrCat(endpoint.ip, ":", endpoint.port);
}

} // namespace tamarackspan::transport
