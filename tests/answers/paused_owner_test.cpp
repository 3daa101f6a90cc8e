#include "deployment.h"

#include "absl/time/clock.h"

#include <csignal>

namespace tamarackspan::answers {
namespace {

const auto judgedRules = std::vector<std::string>{"slot-cap", "connection-cap", "one-snapshot", "true-coverage"};

/// Caps that bind: no more connections than slots, and more callers than both.
auto narrow(std::uint32_t slots, std::uint32_t connections) -> Json
{
    return {{"slots", slots}, {"connections", connections}, {"exponential", true}, {"mean_us", 4000}};
}

auto narrowService(std::uint32_t slots, std::uint32_t connections) -> PublishedService
{
    auto service = PublishedService();
    service.slots = slots;
    service.connections = connections;
    return service;
}

auto heavy(const Deployment &deployment, const std::vector<std::size_t> &hosts, std::uint64_t seed) -> testkit::LoadOptions
{
    auto options = deployment.load("labelled", hosts, seed);
    options.inFlight = 24;
    options.deadline = absl::Milliseconds(400);
    options.timeout = absl::Seconds(5);
    return options;
}

/// The paused host is taken out of the list, so that others get its part, and wakes before it has read that.
TEST(PausedOwnerTest, CapsHoldWhileAPausedHostIsReplacedAndWakes)
{
    auto deployment = Deployment(3, narrow(4, 4));
    deployment.publishService(narrowService(4, 4));
    deployment.start();
    auto options = heavy(deployment, {0, 1, 2}, 4905);
    options.duration = absl::Seconds(8);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).signal(SIGSTOP);
        deployment.publishHosts({0, 2});
        absl::SleepFor(absl::Seconds(4));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    deployment.check(judgedRules);
}

} // namespace
} // namespace tamarackspan::answers
