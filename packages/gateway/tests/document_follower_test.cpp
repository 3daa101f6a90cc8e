#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/document_follower.h"

#include <gtest/gtest.h>

#include <optional>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

auto catalogue(std::uint64_t version, const std::vector<std::string> &services) -> Catalogue
{
    auto made = Catalogue{.version = version};
    for (const auto &service : services) {
        made.operations.push_back({.name = "op-" + service, .services = {{.service = service, .weight = 1.0}}});
    }
    return made;
}

auto leafOf(const std::string &service) -> LeafEntry
{
    return {.id = "i-" + service, .service = service, .startedAt = 1, .sequence = 1};
}

/// A store whose cheap reads have lost their history and are stale: only fresh listings show the leafs of the service "new".
struct StaleStore
{
    std::optional<DocumentCalls::Callback> watch{};

    [[nodiscard]] auto calls() -> DocumentCalls
    {
        constexpr auto ok = DocumentReply::Outcome::Ok;
        return {.catalogue =
                    [](absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .changes = {catalogue(1, {"old"})}, .revision = 10});
                    },
                .catalogueChanges =
                    [this](std::uint64_t, absl::Duration, absl::Duration, DocumentCalls::Callback callback) {
                        this->watch = std::move(callback);
                    },
                .leafs =
                    [](const std::string &, bool fresh, absl::Duration, const DocumentCalls::Callback &callback) {
                        auto reply = DocumentReply{.outcome = ok, .changes = {leafOf("old")}, .revision = 10};
                        if (fresh) {
                            reply.changes.emplace_back(leafOf("new"));
                            reply.revision = 20;
                        }
                        callback(reply);
                    },
                .changes =
                    [](std::uint64_t, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .revision = 10});
                    }};
    }
};

TEST(DocumentFollower, ListsTheLeafsOfANewCatalogueAtOnce)
{
    constexpr auto interval = absl::Seconds(2);
    constexpr auto catalogueAt = absl::Milliseconds(100);
    auto loop = transport::EventLoop();
    const auto log = logging::Logger("test");
    auto store = StaleStore();
    auto directory = LeafDirectory([](const DirectoryEvent &) {});
    auto follower = DocumentFollower(
        loop, store.calls(), directory, {.interval = interval}, [](const std::shared_ptr<const Catalogue> &) {}, log);
    follower.start();
    ASSERT_TRUE(follower.complete());
    auto known = false;
    const auto begin = base::monotonicNow();
    loop.runAt(begin + catalogueAt, [&store] {
        (*store.watch)({.outcome = DocumentReply::Outcome::Ok, .changes = {catalogue(2, {"old", "new"})}, .revision = 15});
    });
    loop.runAt(begin + catalogueAt * 3, [&] {
        known = !directory.service("new").leafs.empty();
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(known);
    EXPECT_FALSE(directory.service("old").leafs.empty());
}

} // namespace
