#include "tamarackspan/base/random.h"

namespace tamarackspan::base {

namespace {

constexpr auto splitMixIncrement = std::uint64_t{0x9E3779B97F4A7C15};
constexpr auto fnvOffset = std::uint64_t{0xCBF29CE484222325};
constexpr auto fnvPrime = std::uint64_t{0x100000001B3};
constexpr auto mantissaBits = 53;

} // namespace

auto mixBits(std::uint64_t value) noexcept -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

auto stableHash(const char *data, std::size_t size) noexcept -> std::uint64_t
{
    auto hash = fnvOffset;
    for (auto i = std::size_t{0}; i < size; ++i) {
        hash = (hash ^ static_cast<unsigned char>(data[i])) * fnvPrime;
    }
    return mixBits(hash);
}

Random::Random(std::uint64_t seed) noexcept
    : state(seed)
{
}

auto Random::next() noexcept -> std::uint64_t
{
    this->state += splitMixIncrement;
    return mixBits(this->state);
}

auto Random::below(std::uint64_t bound) noexcept -> std::uint64_t
{
    return bound == 0 ? 0 : this->next() % bound;
}

auto Random::unit() noexcept -> double
{
    return static_cast<double>(this->next() >> (64 - mantissaBits)) / static_cast<double>(std::uint64_t{1} << mantissaBits);
}

} // namespace tamarackspan::base
