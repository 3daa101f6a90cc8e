#include "tamarackspan/transport/endpoint.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::transport;

TEST(Endpoint, ParsesAndFormatsIpv4AndIpv6Addresses)
{
    for (const auto *text : {"127.0.0.1:7000", "[::1]:7000", "10.0.0.1:0"}) {
        const auto endpoint = parseEndpoint(text);
        ASSERT_TRUE(endpoint.ok()) << text;
        EXPECT_EQ(toString(*endpoint), text);
    }
}

TEST(Endpoint, RefusesNamesAndBadPorts)
{
    for (const auto *text : {"", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:+1", "127.0.0.1: 1", "1.2.3:4"}) {
        EXPECT_EQ(parseEndpoint(text).status().code(), absl::StatusCode::kInvalidArgument) << text;
    }
}

} // namespace
