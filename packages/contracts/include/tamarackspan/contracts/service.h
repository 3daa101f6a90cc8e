#pragma once

#include "tamarackspan/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::contracts {

/// A backend server as published.
struct Leaf
{
    base::LeafId id;
    /// IP address and port of its HTTP endpoint.
    std::string address;
    std::uint16_t port = 0;
    /// The most requests that it runs at once, summed over all hosts.
    std::uint32_t slots = 1;
    /// The most connections that it accepts, summed over all hosts.
    std::uint32_t connections = 1;
    /// Published as leaving: gets no new work.
    bool leaving = false;

    friend auto operator==(const Leaf &, const Leaf &) -> bool = default;
};

/// One shard and the leafs that hold a replica of it.
struct Shard
{
    base::ShardId id;
    std::vector<base::LeafId> replicas;

    friend auto operator==(const Shard &, const Shard &) -> bool = default;
};

/// The shards and leafs of one service in one data centre: the published document "services/<data centre>/<service>". The document's revision is the
/// generation of the shard map.
struct Service
{
    base::ServiceName name;
    base::DataCentre dataCentre;
    /// Who published the document, for the audit trail.
    std::string publishedBy;
    /// The versions of the index that answers may come from, newest first; never empty.
    std::vector<base::IndexVersion> indexVersions;
    /// The number of neighbouring leafs that have the same owners.
    std::uint32_t ownershipGroupSize = 1;
    std::map<base::LeafId, Leaf> leafs;
    /// In ascending order of the shard id.
    std::vector<Shard> shards;
    /// The service has ended in this data centre: only the names are valid.
    bool removed = false;

    friend auto operator==(const Service &, const Service &) -> bool = default;
};

} // namespace tamarackspan::contracts
