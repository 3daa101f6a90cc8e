#include "tamarackspan/execution/sip_hash.h"

#include <array>
#include <bit>
#include <cstddef>

namespace tamarackspan::execution {

namespace {

constexpr auto wordBytes = std::size_t{8};
constexpr auto byteBits = 8U;
constexpr auto roundsPerWord = 2;
constexpr auto finalRounds = 4;
constexpr auto finalMark = std::uint64_t{0xFF};
constexpr auto lengthShift = 56U;

struct State
{
    std::array<std::uint64_t, 4> v;
};

auto mix(State &state, int rounds) noexcept -> void
{
    auto &v = state.v;
    for (auto i = 0; i < rounds; ++i) {
        v[0] += v[1];
        v[1] = std::rotl(v[1], 13) ^ v[0];
        v[0] = std::rotl(v[0], 32);
        v[2] += v[3];
        v[3] = std::rotl(v[3], 16) ^ v[2];
        v[0] += v[3];
        v[3] = std::rotl(v[3], 21) ^ v[0];
        v[2] += v[1];
        v[1] = std::rotl(v[1], 17) ^ v[2];
        v[2] = std::rotl(v[2], 32);
    }
}

auto readWord(std::string_view bytes) noexcept -> std::uint64_t
{
    auto word = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < bytes.size(); ++i) {
        word |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (byteBits * i);
    }
    return word;
}

auto absorb(State &state, std::uint64_t word) noexcept -> void
{
    state.v[3] ^= word;
    mix(state, roundsPerWord);
    state.v[0] ^= word;
}

} // namespace

auto sipHash(HashKey key, std::string_view bytes) noexcept -> std::uint64_t
{
    auto state = State{.v = {
                           key.first ^ 0x736F6D6570736575U,
                           key.second ^ 0x646F72616E646F6DU,
                           key.first ^ 0x6C7967656E657261U,
                           key.second ^ 0x7465646279746573U,
                       }};
    auto left = bytes;
    for (; left.size() >= wordBytes; left.remove_prefix(wordBytes)) {
        absorb(state, readWord(left.substr(0, wordBytes)));
    }
    absorb(state, readWord(left) | (std::uint64_t{bytes.size()} << lengthShift));
    state.v[2] ^= finalMark;
    mix(state, finalRounds);
    return state.v[0] ^ state.v[1] ^ state.v[2] ^ state.v[3];
}

} // namespace tamarackspan::execution
