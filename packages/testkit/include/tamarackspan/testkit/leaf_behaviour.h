#pragma once

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// What a leaf stand-in does. Shares are from 0 to 1 and are drawn independently for each request.
struct LeafBehaviour
{
    /// Names the leaf in its history.
    std::string id = "leaf";
    /// Requests run at once; more are shed and counted as a violation.
    std::uint32_t slots = 2;
    std::set<std::uint32_t> shards;
    /// Newest first.
    std::vector<std::uint64_t> indexVersions = {1};
    /// Rows of each shard.
    std::uint32_t rows = 3;
    std::uint64_t seed = 1;
    /// Mean service time; drawn from an exponential distribution if `exponential`, else fixed.
    absl::Duration mean = absl::Milliseconds(1);
    bool exponential = false;
    /// Share of requests whose service time is multiplied by the factor.
    double stragglerShare = 0;
    double stragglerFactor = 10;
    /// How long service times stay multiplied by the factor after this was set.
    absl::Duration cold = absl::ZeroDuration();
    double coldFactor = 10;
    /// Added before the first request of a connection is run.
    absl::Duration connect = absl::ZeroDuration();
    bool draining = false;
    double shedShare = 0;
    /// Not run, answered with status 500, while the status endpoint says that all is well.
    double failShare = 0;
    double partialShare = 0;
    /// Executes that are looked at and declined.
    double rejectShare = 0;
    /// Run, then the connection is closed without a reply.
    double lostShare = 0;
    /// Run, then never answered on an open connection.
    double silentShare = 0;
    /// Run without regard to the deadline and answered after `late` more.
    double lateShare = 0;
    absl::Duration late = absl::Milliseconds(500);
    /// Answered with the reply to the request before it.
    double crossedShare = 0;
    /// If an object, sent by the status endpoint in place of the truth.
    nlohmann::json status;
};

/// Changes the members that the JSON object names and leaves the others. An unknown key or a value of the wrong type is an error that names the key; then
/// nothing is changed.
[[nodiscard]] auto applyBehaviour(LeafBehaviour &behaviour, const nlohmann::json &change) -> absl::Status;

/// Reads "id=a,slots=2,shards=0+1+2" into a JSON object; numbers and booleans are recognised, "+" makes a list.
[[nodiscard]] auto parseKeyValues(const std::string &text) -> nlohmann::json;

/// Reads a TOML file into JSON. The error says what is wrong and where.
[[nodiscard]] auto readToml(const std::string &path, nlohmann::json &target) -> absl::Status;

} // namespace tamarackspan::testkit
