#include "tamarackspan/testkit/fleet.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

#include <csignal>
#include <filesystem>

namespace tamarackspan::testkit {
namespace {

using Json = nlohmann::json;

auto programs() -> FleetPrograms
{
    return {.daemon = "/bin/false", .leafStandIn = LEAFSTANDIN, .platformStandIn = PLATFORMSTANDIN};
}

TEST(ChildProcessTest, ReportsHowAProcessEnded)
{
    const auto output = testing::TempDir() + "/child.out";
    std::filesystem::remove(output);
    auto status = ChildProcess("/bin/sh", {"-c", "echo one; exit 3"}, output);
    EXPECT_EQ(status.wait(absl::Seconds(10)), (ExitOutcome{.status = 3, .signal = std::nullopt}));
    EXPECT_EQ(status.output(), "one\n");
    auto missing = ChildProcess("/nowhere", {}, output);
    EXPECT_EQ(missing.wait(absl::Seconds(10)), (ExitOutcome{.status = 127, .signal = std::nullopt}));
    auto stopped = ChildProcess("/bin/sleep", {"60"}, output);
    stopped.signal(SIGSTOP);
    EXPECT_EQ(stopped.wait(absl::ZeroDuration()), std::nullopt);
    stopped.kill();
    EXPECT_EQ(stopped.wait(absl::ZeroDuration()), (ExitOutcome{.status = std::nullopt, .signal = SIGKILL}));
}

TEST(FleetTest, StartsStandInsAndCollectsTheLeafsHistory)
{
    auto fleet = Fleet(programs());
    const auto ports = fleet.startLeafs({Json{{"id", "a"}, {"shards", {1}}, {"slots", 1}}, Json{{"id", "b"}, {"connections", 4}}});
    ASSERT_TRUE(ports.ok()) << ports.status();
    ASSERT_EQ(ports->size(), 2);
    ASSERT_TRUE(fleet.controlLeaf("a", {{"draining", true}}).ok());
    EXPECT_FALSE(fleet.controlLeaf("a", {{"drain", true}}).ok());
    const auto reply = httpPost(absl::StrCat("http://127.0.0.1:", ports->at(0), "/v1/shards/1/query"), "x");
    EXPECT_EQ(reply->headers.at("tamarackspan-outcome"), "draining");
    const auto history = fleet.leafHistory();
    ASSERT_EQ(history.size(), 2);
    EXPECT_EQ(history[0]["type"], "leaving");
    EXPECT_EQ(history[1]["outcome"], "draining");
    ASSERT_TRUE(fleet.publish("contracts/a", "x = 1").ok());
    EXPECT_EQ(httpGet(absl::StrCat("http://", fleet.platformAddress(), "/v1/values/contracts/a"))->body, "x = 1");
    EXPECT_EQ(fleet.platformStatistics()->at("reads"), 1);
}

TEST(FleetTest, ReportsAHostThatDoesNotStart)
{
    auto fleet = Fleet(programs());
    fleet.addHost({});
    EXPECT_EQ(fleet.startAll(absl::Seconds(20)).code(), absl::StatusCode::kAborted);
}

} // namespace
} // namespace tamarackspan::testkit
