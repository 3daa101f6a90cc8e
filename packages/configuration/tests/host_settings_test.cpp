#include "tamarackspan/configuration/host_settings.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::configuration;
using tamarackspan::base::toString;

constexpr auto settingsText = R"([host]
data_centre = "a"
inner_address = "127.0.0.1:7101"
caller_address = "127.0.0.1:8101"
admin_address = "127.0.0.1:9101"
[platform]
addresses = ["127.0.0.1:6001"]
)";

auto report(std::string_view text, const std::vector<std::string> &overrides = {}) -> std::vector<std::string>
{
    const auto result = parseSettings(text, "s.toml", overrides);
    auto lines = std::vector<std::string>{};
    if (!result.ok()) {
        for (const auto &error : result.error()) {
            lines.push_back(toString(error));
        }
    }
    return lines;
}

TEST(HostSettings, FillsInTheDocumentedDefaults)
{
    const auto result = parseSettings(settingsText, "s.toml");
    ASSERT_TRUE(result.ok());
    EXPECT_EQ(result.value().timing, Timing{});
    EXPECT_EQ(result.value().timing.ticketLife, absl::Seconds(10));
    EXPECT_EQ(result.value().log, LogSettings{});
}

TEST(HostSettings, OverridesReplaceKeysUnderTheSameChecks)
{
    const auto result =
        parseSettings(settingsText, "s.toml",
                      {"host.inner_address=127.0.0.1:7999", "timing.lease_ms=5000", "timing.ticket_life_ms=2500", "log.format=json", "audit.file=/tmp/a b"});
    ASSERT_TRUE(result.ok());
    EXPECT_EQ(result.value().host.innerAddress.get(), "127.0.0.1:7999");
    EXPECT_EQ(result.value().timing.lease, absl::Seconds(5));
    EXPECT_EQ(result.value().timing.ticketLife, absl::Milliseconds(2500));
    EXPECT_EQ(result.value().log.format, LogFormat::Json);
    EXPECT_EQ(result.value().auditFile, "/tmp/a b");
    EXPECT_EQ(report(settingsText, {"host.inner_address=localhost:1", "lease=3", "timing.leese_ms=3"}),
              (std::vector<std::string>{
                  "--set: expected table.key=value, found \"lease=3\"",
                  "--set: host.inner_address: expected an IP address and port, such as \"10.0.0.1:7000\", found \"localhost:1\"",
                  "--set: timing.leese_ms: expected one of cost_report_ms, drain_wait_ms, heartbeat_ms, host_list_lag_ms, lease_ms, peer_timeout_ms, "
                  "platform_timeout_ms, platform_wait_ms, start_wait_ms, ticket_life_ms; found an unknown key",
              }));
}

TEST(HostSettings, EachBadValueIsOneFault)
{
    for (const auto &override : std::vector<std::string>{
             "host.data_centre=",
             "host.caller_address=127.0.0.1:7101",
             "host.roles=[\"entry\"]",
             "host.traffic_threads=0",
             "host.traffic_threads=many",
             "platform.addresses=[\"::1:80\"]",
             "platform.addresses=[]",
             "peers.addresses=127.0.0.1:7102",
             "timing.lease_ms=0",
             "timing.lease_ms=1.5",
             "timing.heartbeat_ms=1400",
             "timing.ticket_life_ms=0",
             "log.level=loud",
             "log.file=3",
             "colour.of=red",
             "host.colour=red",
         }) {
        EXPECT_EQ(report(settingsText, {override}).size(), 1U) << override;
    }
}

TEST(HostSettings, HostileTextsGiveErrors)
{
    for (const auto *text : {"", "host = 3\nplatform = 4\ntiming = []", "[host]\n[host]", "host.data_centre.x = 1", "[host"}) {
        EXPECT_FALSE(report(text).empty()) << text;
    }
    EXPECT_FALSE(report("host = 3", {"host.data_centre=a"}).empty());
    EXPECT_FALSE(report(settingsText, {"host.data_centre=\"a\"\nx = 1"}).empty());
}

} // namespace
