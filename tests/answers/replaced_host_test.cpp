#include "binding_caps.h"

#include "absl/time/clock.h"

#include <algorithm>

namespace tamarackspan::answers {
namespace {

TEST(ReplacedHostTest, CapsHoldWhileAKilledHostIsReplacedAtAnotherAddress)
{
    auto deployment = Deployment(4, cappedLeaf(4, 4));
    deployment.publishService(cappedService(4, 4));
    deployment.publishHosts({0, 1, 2});
    for (const auto host : {0U, 1U, 2U}) {
        deployment.fleet.startHost(host);
    }
    for (const auto host : {0U, 1U, 2U}) {
        const auto ready = deployment.fleet.waitReady(host, absl::Seconds(15));
        ASSERT_TRUE(ready.ok()) << ready;
    }
    auto options = saturatingLoad(deployment, {0, 1, 2, 3}, 4903);
    options.duration = absl::Seconds(7);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).kill();
        deployment.fleet.startHost(3);
        deployment.publishHosts({0, 2, 3});
        const auto ready = deployment.fleet.waitReady(3, absl::Seconds(15));
        EXPECT_TRUE(ready.ok()) << ready;
    });
    deployment.check(checkedRules);
    const auto answers = deployment.callsOf(options.caller);
    EXPECT_TRUE(std::any_of(answers.begin(), answers.end(), [&](const Json &call) {
        return call["address"] == deployment.fleet.addresses(3).caller && call["status"] == 200;
    })) << "the new host never answered";
}

/// A third host takes over shares of the leafs from two hosts that keep running and have open connections to them.
TEST(ReplacedHostTest, CapsHoldWhileAHostIsAdded)
{
    auto deployment = Deployment(3, cappedLeaf(4, 4));
    auto service = cappedService(4, 4);
    service.groupSize = 1;
    deployment.publishService(service);
    deployment.publishHosts({0, 1});
    for (const auto host : {0U, 1U, 2U}) {
        deployment.fleet.startHost(host);
    }
    for (const auto host : {0U, 1U}) {
        const auto ready = deployment.fleet.waitReady(host, absl::Seconds(15));
        ASSERT_TRUE(ready.ok()) << ready;
    }
    auto options = saturatingLoad(deployment, {0, 1}, 4906);
    options.duration = absl::Seconds(7);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.publishHosts({0, 1, 2});
        const auto ready = deployment.fleet.waitReady(2, absl::Seconds(15));
        EXPECT_TRUE(ready.ok()) << ready;
    });
    deployment.check(checkedRules);
}

} // namespace
} // namespace tamarackspan::answers
