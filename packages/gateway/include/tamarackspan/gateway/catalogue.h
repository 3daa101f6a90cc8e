#pragma once

#include "tamarackspan/gateway/decisions/warm_up_decision.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

/// One of the services among which an operation's requests are distributed.
struct ServiceShare
{
    std::string service;
    /// Relative to the weights of the operation's other services.
    double weight = 1.0;

    friend auto operator==(const ServiceShare &, const ServiceShare &) -> bool = default;
};

/// What callers may ask for under one host name and path prefix, and how it is served.
struct Operation
{
    std::string name{};
    /// The operation serves requests for this host name whose path begins with the prefix; the longest matching prefix wins.
    std::string hostName{};
    std::string prefix{};
    /// Whether leafs may run a request more than once, so that it can be retried and hedged.
    bool repeatable = false;
    /// Maximum time that a caller waits for an answer.
    absl::Duration timeout = absl::Seconds(1);
    /// Target latency: an answer within this time is of full use to the caller.
    absl::Duration objective = absl::Seconds(1);
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of leafs of one service that a request may be sent to.
    std::uint32_t attempts = 1;
    /// The services that each hold one shard; empty for an operation that a single leaf answers.
    std::vector<std::string> shards{};
    /// Maximum number of records in an answer that is merged from shards.
    std::size_t topRecords = 0;
    /// Minimum share of the shards, from 0 to 1, that must answer for the query to succeed.
    double coverageFloor = 0.0;
    /// The services of an operation that a single leaf answers.
    std::vector<ServiceShare> services{};

    friend auto operator==(const Operation &, const Operation &) -> bool = default;
};

/// Limits of the leafs of a service.
struct ServiceOptions
{
    /// Maximum number of connections to one leaf, of all hosts together.
    std::uint32_t maxConnections = 1;
    WarmUpLimit warmUp{};

    friend auto operator==(const ServiceOptions &, const ServiceOptions &) -> bool = default;
};

/// Limits on callers' messages and on how long they may take.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{256} * 1024;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    friend auto operator==(const CallerLimits &, const CallerLimits &) -> bool = default;
};

/// One version of the published configuration. Immutable once published; a request keeps the version that it began with.
struct Catalogue
{
    std::uint64_t version = 0;
    std::vector<Operation> operations{};
    absl::flat_hash_map<std::string, ServiceOptions> services{};
    CallerLimits limits{};
    /// The store's revisions at which its item was created and last written; 0 if unknown. They tell one store from another.
    std::uint64_t createdRevision = 0;
    std::uint64_t writtenRevision = 0;

    friend auto operator==(const Catalogue &, const Catalogue &) -> bool = default;
};

/// Returns the names of all services that a catalogue's operations name, each once, in order.
[[nodiscard]] auto servicesNamed(const Catalogue &catalogue) -> std::vector<std::string>;

/// Finds operations of a catalogue by host name and path. The catalogue must outlive the index.
class CatalogueIndex
{
public:
    explicit CatalogueIndex(const Catalogue &catalogue);

    /// Returns the operation with the longest prefix that begins the path; nullptr if there is none.
    [[nodiscard]] auto find(const std::string &hostName, std::string_view path) const -> const Operation *;

private:
    /// By host name, the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<const Operation *>> byHost;
};

} // namespace tamarackspan::gateway
