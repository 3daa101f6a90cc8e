#pragma once

#include "tamarackspan/configuration/read_plan.h"
#include "tamarackspan/http/client.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// Makes the calls to the platform's configuration service (docs/PLATFORM-PROTOCOL.md) that the reading plan asks for. On the control thread only.
class PlatformReader
{
public:
    struct Options
    {
        /// Tried in turn; if empty, documents come only from peers.
        std::vector<std::string> addresses;
        /// How long a watch of the host list waits: short, since each answer renews the lease.
        absl::Duration hostListWait = absl::Seconds(3);
    };

    struct Handlers
    {
        /// Puts a document into the store.
        std::function<void(const configuration::Document &)> onDocument;
        /// Called when the platform's host list, in a list call issued at `issuedAt`, was no newer than the one held.
        std::function<void(absl::Time issuedAt)> onHostListConfirmed;
    };

    PlatformReader(transport::EventLoop &loop, Options options, configuration::ReadPlan &plan, const configuration::DocumentStore &store, Handlers handlers);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    auto operator=(const PlatformReader &) -> PlatformReader & = delete;

    /// Sends the calls that are due. To be called after each event and every 100 ms.
    auto poll() -> void;

    /// Returns how many calls were made.
    [[nodiscard]] auto calls() const noexcept -> std::uint64_t;

    /// Returns when the platform last answered; the infinite past if never.
    [[nodiscard]] auto lastAnswer() const noexcept -> absl::Time;

private:
    auto list(const configuration::ListPrefix &action) -> void;
    auto onList(const std::string &prefix, absl::Time issuedAt, const http::Response &response) -> void;
    auto fetch(const configuration::FetchValue &action) -> void;
    auto onValue(const std::string &key, const http::Response &response) -> void;
    auto confirmHostList(absl::Time issuedAt, const std::vector<configuration::ListedKey> &keys) -> void;
    auto request(const std::string &path, absl::Duration timeout) -> http::Request;
    auto noteFailure(const std::string &what, const http::Response &response) -> void;

    transport::EventLoop &loop;
    Options options;
    configuration::ReadPlan &plan;
    const configuration::DocumentStore &store;
    Handlers handlers;
    http::Client client;
    std::string hostListKey;
    std::size_t address = 0;
    std::uint64_t callCount = 0;
    bool failing = false;
    absl::Time answeredAt = absl::InfinitePast();
    /// When the list call was issued that named a newer revision of the host list; set until that revision is held.
    absl::Time pendingHostListCall = absl::InfinitePast();
    base::Revision pendingHostListRevision;
};

} // namespace tamarackspan::daemon
