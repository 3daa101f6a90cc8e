#pragma once

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// Configurable behaviour of a leaf stand-in, including injected faults. Shares are probabilities from 0 to 1, drawn independently for each request.
struct LeafBehaviour
{
    /// The leaf's name in the history.
    std::string id = "leaf";
    /// Maximum number of concurrent requests; requests beyond it are shed and counted as violations.
    std::uint32_t slots = 2;
    std::set<std::uint32_t> shards;
    /// Index versions that the leaf holds, newest first.
    std::vector<std::uint64_t> indexVersions = {1};
    /// Number of rows returned for each shard.
    std::uint32_t rowsPerShard = 3;
    std::uint64_t seed = 1;
    /// Mean service time; service times are exponentially distributed if `exponential` is set, otherwise constant.
    absl::Duration meanServiceTime = absl::Milliseconds(1);
    bool exponential = false;
    /// Share of requests whose service time is multiplied by `stragglerFactor`.
    double stragglerShare = 0;
    double stragglerFactor = 10;
    /// How long service times are multiplied by `coldFactor` after this value was set.
    absl::Duration coldPeriod = absl::ZeroDuration();
    double coldFactor = 10;
    /// Delay before the first request of a connection is processed.
    absl::Duration connectDelay = absl::ZeroDuration();
    bool draining = false;
    double shedShare = 0;
    /// Requests that are not run and are answered with status 500, while the status endpoint reports a healthy leaf.
    double failShare = 0;
    double partialShare = 0;
    /// Execute requests that the leaf rejects without running them.
    double rejectShare = 0;
    /// Requests that are run, after which the connection is closed without a reply.
    double lostShare = 0;
    /// Requests that are run but never answered; the connection stays open.
    double silentShare = 0;
    /// Requests that are run to the end regardless of the deadline and answered after the additional delay `lateDelay`.
    double lateShare = 0;
    absl::Duration lateDelay = absl::Milliseconds(500);
    /// Requests that receive the reply to an earlier request.
    double crossedShare = 0;
    /// If this is an object, the status endpoint returns it in place of the actual status.
    nlohmann::json status;
};

/// Changes the members that the JSON object names and leaves the others as they are. Returns an error that names the key for an unknown key or a value of the
/// wrong type; nothing is changed then.
[[nodiscard]] auto applyBehaviour(LeafBehaviour &behaviour, const nlohmann::json &change) -> absl::Status;

/// Parses "id=a,slots=2,shards=0+1+2" into a JSON object; numbers and booleans are recognised, and "+" separates the items of a list.
[[nodiscard]] auto parseKeyValues(const std::string &text) -> nlohmann::json;

/// Reads a TOML file and converts it to JSON. The error contains the position and the reason.
[[nodiscard]] auto readToml(const std::string &path, nlohmann::json &target) -> absl::Status;

} // namespace tamarackspan::testkit
