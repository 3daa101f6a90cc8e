#pragma once

#include "tamarackspan/wire/inner_generated.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <utility>

namespace tamarackspan::wire {

/// Encodes one message, including the frame header.
[[nodiscard]] auto encodeFrame(const MessageT &message) -> std::string;

/// Encodes one table of the schema, such as HeartbeatT, as a message with a frame header.
template<typename T>
[[nodiscard]] auto encode(T table) -> std::string
{
    auto message = MessageT();
    message.body.Set(std::move(table));
    return encodeFrame(message);
}

/// Decodes a message without its frame header. Returns InvalidArgument if the bytes aren't a well-formed message of the schema or the message has no body.
[[nodiscard]] auto decode(std::span<const std::uint8_t> bytes) -> absl::StatusOr<MessageT>;

} // namespace tamarackspan::wire
