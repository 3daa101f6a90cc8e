#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarackspan::contracts {

/// The whole, in thousandths.
inline constexpr std::int64_t fullPermille = 1000;
/// The highest rate in requests per second, and the largest burst, of a contract.
inline constexpr std::int64_t maxRequestsPerSecond = 100'000'000;
/// The highest number of requests of a contract in flight at once.
inline constexpr std::int64_t maxConcurrency = 10'000'000;
/// The longest deadline of an operation, in milliseconds.
inline constexpr std::int64_t maxDeadlineMs = 600'000;
/// The most rows in one answer.
inline constexpr std::int64_t maxRowsPerAnswer = 100'000;
/// The most rows in an answer if the contract doesn't set a number.
inline constexpr std::int64_t defaultMaxRows = 100;
/// Extra leaf requests (hedges and retries) per 1,000 first ones if the contract doesn't set a number.
inline constexpr std::int64_t defaultExtraLoadPermille = 50;
/// The longest name of a publisher, in bytes.
inline constexpr std::size_t maxPublishedByBytes = 200;
/// The highest shard id.
inline constexpr std::int64_t maxShardId = 1'000'000;
/// The most slots or connections of one leaf.
inline constexpr std::int64_t maxLeafUnits = 100'000;
/// The most leafs in an ownership group.
inline constexpr std::int64_t maxOwnershipGroupSize = 10'000;
/// The most index versions that a service lists at once.
inline constexpr std::size_t maxIndexVersions = 16;

} // namespace tamarackspan::contracts
