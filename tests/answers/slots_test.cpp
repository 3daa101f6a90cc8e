#include "binding_caps.h"

#include "absl/time/clock.h"

#include <csignal>

namespace tamarackspan::answers {
namespace {

TEST(SlotsTest, CapsHoldOverAllHostsUnderLoad)
{
    auto deployment = Deployment(3, cappedLeaf(4, 4));
    deployment.publishService(cappedService(4, 4));
    deployment.start();
    const auto options = saturatingLoad(deployment, {0, 1, 2}, 4901);
    deployment.drive(options);
    deployment.check(checkedRules);
    EXPECT_FALSE(deployment.answersOf(options.caller).empty());
}

TEST(SlotsTest, CapsHoldWhileAHostIsKilledAndStartedAgain)
{
    auto deployment = Deployment(3, cappedLeaf(4, 4));
    deployment.publishService(cappedService(4, 4));
    deployment.start();
    auto options = saturatingLoad(deployment, {0, 1, 2}, 4902);
    options.duration = absl::Seconds(6);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).kill();
        absl::SleepFor(absl::Milliseconds(200));
        deployment.fleet.startHost(1);
        const auto ready = deployment.fleet.waitReady(1, absl::Seconds(15));
        EXPECT_TRUE(ready.ok()) << ready;
    });
    deployment.check(checkedRules);
}

TEST(SlotsTest, CapsHoldWhileAHostIsPausedPastItsLeaseAndWakes)
{
    auto deployment = Deployment(3, cappedLeaf(4, 4));
    deployment.publishService(cappedService(4, 4));
    deployment.start();
    auto options = saturatingLoad(deployment, {0, 1, 2}, 4904);
    options.duration = absl::Seconds(7);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).signal(SIGSTOP);
        absl::SleepFor(absl::Seconds(3));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    deployment.check(checkedRules);
}

} // namespace
} // namespace tamarackspan::answers
