#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/document_follower.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

constexpr auto era = std::uint64_t{3};

/// A store that lists one evacuation, and has a removal of it and another evacuation among its changes.
struct EvacuatingStore
{
    std::optional<DocumentCalls::Callback> watch{};

    [[nodiscard]] auto calls() -> DocumentCalls
    {
        constexpr auto ok = DocumentReply::Outcome::Ok;
        return {.catalogue =
                    [](absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok,
                                  .changes = {Catalogue{.version = 1}, EvacuationItem{.dataCentre = "a", .evacuated = true, .revision = 4}},
                                  .revision = 10,
                                  .era = era});
                    },
                .catalogueChanges =
                    [this](std::uint64_t, absl::Duration, absl::Duration, DocumentCalls::Callback callback) {
                        this->watch = std::move(callback);
                    },
                .leafs =
                    [](const std::string &, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .revision = 10, .era = era});
                    },
                .changes =
                    [](std::uint64_t, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .changes = {EvacuationItem{.dataCentre = "a", .evacuated = false, .revision = 12}}, .revision = 12});
                    }};
    }
};

// An evacuation must be passed on from whichever read shows it first; the waiting read is the fastest.
TEST(DocumentFollower, PassesOnEvacuationsOfEachRead)
{
    auto loop = transport::EventLoop();
    const auto log = logging::Logger("test");
    auto store = EvacuatingStore();
    auto directory = LeafDirectory([](const DirectoryEvent &) {});
    auto readings = std::vector<EvacuationReading>();
    auto follower = DocumentFollower(
        loop, store.calls(), directory, {.interval = absl::Milliseconds(50)}, {}, [](const std::shared_ptr<const Catalogue> &) {}, log,
        [&readings](const EvacuationReading &reading) {
            readings.push_back(reading);
        });
    follower.start();
    ASSERT_EQ(readings.size(), 1);
    EXPECT_EQ(readings[0],
              (EvacuationReading{.items = {{.dataCentre = "a", .evacuated = true, .since = {.era = era, .revision = 4}}},
                                 .listedAt = census::StoreRevision{.era = era, .revision = 10}}));
    (*store.watch)({.outcome = DocumentReply::Outcome::Ok, .changes = {EvacuationItem{.dataCentre = "b", .evacuated = true, .revision = 11}}, .revision = 11});
    ASSERT_EQ(readings.size(), 2);
    EXPECT_EQ(readings[1], (EvacuationReading{.items = {{.dataCentre = "b", .evacuated = true, .since = {.era = era, .revision = 11}}}}));
    loop.runAt(base::monotonicNow() + absl::Milliseconds(200), [&loop] {
        loop.stop();
    });
    loop.run();
    ASSERT_GE(readings.size(), 3);
    EXPECT_EQ(readings[2], (EvacuationReading{.items = {{.dataCentre = "a", .evacuated = false, .since = {.era = era, .revision = 12}}}}));
}

} // namespace
