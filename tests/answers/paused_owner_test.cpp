#include "binding_caps.h"

#include "absl/time/clock.h"

#include <csignal>

namespace tamarackspan::answers {
namespace {

/// The paused host is removed from the list, so that its share goes to the others, and resumes before it has read the change.
TEST(PausedOwnerTest, CapsHoldWhileAPausedHostIsReplacedAndWakes)
{
    auto deployment = Deployment(3, cappedLeaf(4, 4));
    deployment.publishService(cappedService(4, 4));
    deployment.start();
    auto options = saturatingLoad(deployment, {0, 1, 2}, 4905);
    options.duration = absl::Seconds(8);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).signal(SIGSTOP);
        deployment.publishHosts({0, 2});
        absl::SleepFor(absl::Seconds(4));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    deployment.check(checkedRules);
}

} // namespace
} // namespace tamarackspan::answers
