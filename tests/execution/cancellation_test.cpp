#include "execution_fleet.h"

#include "tamarackspan/testkit/http_client.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"

namespace tamarackspan::execution_test {
namespace {

using Json = nlohmann::json;

constexpr auto shardCount = std::size_t{4};
constexpr auto pollInterval = absl::Milliseconds(50);
constexpr auto pollTimes = 400;

auto requestsOf(ExecutionFleet &fleet, const std::string &marker) -> std::vector<Json>
{
    auto found = std::vector<Json>();
    for (const auto &record : fleet.hosts().leafHistory()) {
        if (record.value("marker", "") == marker) {
            found.push_back(record);
        }
    }
    return found;
}

TEST(CancellationTest, ACallerThatDisconnectsCancelsItsQueryAtTheLeafs)
{
    // The service time is far longer than the caller waits, so that a leaf request ends early only if it is cancelled.
    auto fleet = ExecutionFleet({.deadlineMillis = 10'000, .leafMicros = 6'000'000});
    ASSERT_TRUE(fleet.start().ok());
    for (const auto &address : fleet.callerAddresses()) {
        const auto marker = absl::StrCat("gone-", address);
        const auto url = absl::StrCat("http://", address, "/v1/customers/desk/operations/find/query");
        const auto result = testkit::httpSend("POST", url, {}, Json{{"marker", marker}}.dump(), absl::Milliseconds(400));
        EXPECT_FALSE(result.ok());
        // The history holds a request once it has ended. The requests for all shards must have ended as cancelled.
        auto requests = requestsOf(fleet, marker);
        for (auto i = 0; i < pollTimes && requests.size() < shardCount; ++i) {
            absl::SleepFor(pollInterval);
            requests = requestsOf(fleet, marker);
        }
        EXPECT_GE(requests.size(), shardCount);
        for (const auto &request : requests) {
            EXPECT_EQ(request.at("outcome"), "cancelled") << request.dump();
        }
    }
}

} // namespace
} // namespace tamarackspan::execution_test
