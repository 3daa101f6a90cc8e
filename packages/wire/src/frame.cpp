#include "tamarackspan/wire/frame.h"

#include "tamarackspan/base/require.h"

#include <utility>

namespace tamarackspan::wire {

namespace {

constexpr auto magicFirst = char{'T'};
constexpr auto magicSecond = char{'S'};
constexpr auto sizeBytes = std::size_t{4};
constexpr auto magicOffset = std::size_t{4};
constexpr auto versionOffset = std::size_t{6};
constexpr auto bitsPerByte = 8U;
/// Consumed bytes stay in the buffer until there are this many, so that the buffer isn't moved for every message.
constexpr auto compactAboveBytes = std::size_t{64} << 10U;

auto readSize(const char *bytes) -> std::size_t
{
    auto size = std::size_t{0};
    for (auto i = std::size_t{0}; i < sizeBytes; ++i) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    }
    return size;
}

auto checkHeader(const char *header) -> std::optional<FrameError>
{
    if (header[magicOffset] != magicFirst || header[magicOffset + 1] != magicSecond) {
        return FrameError::WrongProtocol;
    }
    if (static_cast<std::uint8_t>(header[versionOffset]) != protocolVersion) {
        return FrameError::WrongVersion;
    }
    const auto size = readSize(header);
    if (size == 0 || size > maxMessageBytes) {
        return FrameError::BadSize;
    }
    return std::nullopt;
}

} // namespace

auto toString(FrameError error) noexcept -> std::string_view
{
    switch (error) {
    case FrameError::WrongProtocol:
        return "wrong protocol";
    case FrameError::WrongVersion:
        return "wrong protocol version";
    case FrameError::BadSize:
        return "bad frame size";
    }
    return "unknown";
}

auto frameHeader(std::size_t messageBytes) -> std::string
{
    base::require(messageBytes > 0 && messageBytes <= maxMessageBytes, "a message's size is within the protocol's bounds");
    auto header = std::string(frameHeaderBytes, '\0');
    for (auto i = std::size_t{0}; i < sizeBytes; ++i) {
        header[i] = static_cast<char>((messageBytes >> (bitsPerByte * i)) & 0xFFU);
    }
    header[magicOffset] = magicFirst;
    header[magicOffset + 1] = magicSecond;
    header[versionOffset] = static_cast<char>(protocolVersion);
    return header;
}

auto FrameReader::append(std::span<const char> bytes) -> void
{
    if (this->consumed == this->buffer.size() || this->consumed > compactAboveBytes) {
        this->buffer.erase(0, this->consumed);
        this->consumed = 0;
    }
    this->buffer.append(bytes.data(), bytes.size());
}

auto FrameReader::next() -> std::optional<std::span<const std::uint8_t>>
{
    const auto available = this->buffer.size() - this->consumed;
    if (this->failure || available < frameHeaderBytes) {
        return std::nullopt;
    }
    const auto *header = this->buffer.data() + this->consumed;
    this->failure = checkHeader(header);
    if (this->failure) {
        return std::nullopt;
    }
    const auto size = readSize(header);
    if (available < frameHeaderBytes + size) {
        return std::nullopt;
    }
    this->consumed += frameHeaderBytes + size;
    return std::span(reinterpret_cast<const std::uint8_t *>(header + frameHeaderBytes), size);
}

auto FrameReader::error() const noexcept -> std::optional<FrameError>
{
    return this->failure;
}

auto FrameReader::takeRest() -> std::string
{
    auto rest = this->buffer.substr(this->consumed);
    this->buffer.clear();
    this->consumed = 0;
    return rest;
}

} // namespace tamarackspan::wire
