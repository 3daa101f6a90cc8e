#pragma once

#include "tamarackspan/base/strong_value.h"

#include <cstdint>
#include <string>

namespace tamarackspan::base {

/// The name of a customer, unique over the whole system, as in the customer's contract.
using CustomerName = StrongValue<struct CustomerNameTag, std::string>;
/// The name of one operation within a contract.
using OperationName = StrongValue<struct OperationNameTag, std::string>;
/// The name of a service: a set of shards served by leafs.
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
/// The name of a data centre.
using DataCentre = StrongValue<struct DataCentreTag, std::string>;
/// A host of the system, named by the address and port on which it talks to other hosts: "10.0.0.1:7000".
using HostId = StrongValue<struct HostIdTag, std::string>;
/// A leaf, unique within its data centre.
using LeafId = StrongValue<struct LeafIdTag, std::string>;
/// One shard of a service.
using ShardId = StrongValue<struct ShardIdTag, std::uint32_t>;
/// A version of a service's index; a greater number is newer.
using IndexVersion = StrongValue<struct IndexVersionTag, std::uint64_t>;
/// A revision of one published document, assigned by the configuration service; only increases.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;
/// One run of the daemon. Random, so that a restarted process has a different one than its predecessor.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;
/// One attempt at querying one shard, within one query.
using AttemptId = StrongValue<struct AttemptIdTag, std::uint32_t>;

} // namespace tamarackspan::base
