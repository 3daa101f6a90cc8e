#include "tamarackspan/wire/codec.h"

#include "tamarackspan/wire/frame.h"

#include <memory>

namespace tamarackspan::wire {

namespace {

constexpr auto initialBuilderBytes = std::size_t{1024};

} // namespace

auto encodeFrame(const MessageT &message) -> std::string
{
    auto builder = flatbuffers::FlatBufferBuilder(initialBuilderBytes);
    builder.Finish(Message::Pack(builder, &message));
    auto frame = frameHeader(builder.GetSize());
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

auto decode(std::span<const std::uint8_t> bytes) -> absl::StatusOr<MessageT>
{
    // The verifier requires the alignment of the schema's widest field, which isn't guaranteed for a message within a stream.
    constexpr auto alignment = sizeof(std::uint64_t);
    auto aligned = std::unique_ptr<std::uint64_t[]>();
    const auto *data = bytes.data();
    if (reinterpret_cast<std::uintptr_t>(data) % alignment != 0) {
        aligned = std::make_unique<std::uint64_t[]>(bytes.size() / alignment + 1);
        std::copy(bytes.begin(), bytes.end(), reinterpret_cast<std::uint8_t *>(aligned.get()));
        data = reinterpret_cast<const std::uint8_t *>(aligned.get());
    }
    auto verifier = flatbuffers::Verifier(data, bytes.size());
    if (!VerifyMessageBuffer(verifier)) {
        return absl::InvalidArgumentError("the message is not well formed");
    }
    auto message = MessageT();
    GetMessage(data)->UnPackTo(&message);
    if (message.body.type == Body::NONE || message.body.value == nullptr) {
        return absl::InvalidArgumentError("the message has no body");
    }
    return message;
}

} // namespace tamarackspan::wire
