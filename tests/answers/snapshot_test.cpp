#include "deployment.h"

#include "absl/time/clock.h"

namespace tamarackspan::answers {
namespace {

/// Each new version is published before any leaf holds it; then the leafs load it one by one. Every second step moves all shards by one leaf.
TEST(SnapshotTest, NoAnswerMixesVersionsOrMapsWhileBothChange)
{
    constexpr auto steps = std::uint64_t{12};
    auto deployment = Deployment(2, {{"mean_us", 5000}, {"exponential", true}});
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4101);
    options.inFlight = 12;
    options.duration = absl::Seconds(7);
    deployment.drive(options, [&] {
        for (auto step = std::uint64_t{1}; step <= steps; ++step) {
            const auto version = 42 + step;
            auto service = PublishedService();
            service.versions = {version, version - 1};
            service.shift = step / 2;
            deployment.publishService(service);
            absl::SleepFor(absl::Milliseconds(100));
            for (const auto *leaf : {"l0", "l1", "l2", "l3"}) {
                EXPECT_TRUE(deployment.fleet.controlLeaf(leaf, {{"index_versions", {version, version - 1}}}).ok());
                absl::SleepFor(absl::Milliseconds(100));
            }
        }
    });
    deployment.check({"one-snapshot", "true-coverage", "whole-answer", "own-answer", "no-duplicates"});
    auto versions = std::set<std::uint64_t>();
    auto maps = std::set<std::uint64_t>();
    for (const auto &answer : deployment.answersOf(options.caller)) {
        if (!answer["rows"].empty()) {
            versions.insert(answer["snapshot"]["index_version"].get<std::uint64_t>());
            maps.insert(answer["snapshot"]["map_generation"].get<std::uint64_t>());
        }
    }
    // With fewer versions or maps the run would prove nothing.
    EXPECT_GE(versions.size(), 3);
    EXPECT_GE(maps.size(), 3);
}

} // namespace
} // namespace tamarackspan::answers
