#pragma once

#include <cstdint>

namespace tamarackspan::base {

/// A small pseudo-random generator that gives the same sequence for the same seed on every machine. Not cryptographically secure.
class Random
{
public:
    /// Starts the sequence of this seed.
    explicit Random(std::uint64_t seed) noexcept;

    /// Returns the next 64 bits.
    [[nodiscard]] auto next() noexcept -> std::uint64_t;

    /// Returns a number from 0 to bound - 1; 0 if the bound is 0.
    [[nodiscard]] auto below(std::uint64_t bound) noexcept -> std::uint64_t;

    /// Returns a number from 0 up to but not including 1.
    [[nodiscard]] auto unit() noexcept -> double;

private:
    std::uint64_t state;
};

/// Mixes 64 bits so that each bit of the result depends on each bit of the value. The same on every host and in every version: ownership depends on it.
[[nodiscard]] auto mixBits(std::uint64_t value) noexcept -> std::uint64_t;

/// Hashes a byte string; the result is the same on every host and in every version.
[[nodiscard]] auto stableHash(const char *data, std::size_t size) noexcept -> std::uint64_t;

} // namespace tamarackspan::base
