#include "tamarackspan/wire/codec.h"
#include "tamarackspan/wire/frame.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using namespace tamarackspan::wire;

auto sampleReply(std::uint64_t query, std::vector<std::uint8_t> body) -> LeafReplyT
{
    auto reply = LeafReplyT();
    reply.query = query;
    reply.attempt = 3;
    reply.outcome = Outcome::Partial;
    reply.heldVersions = {42, 41};
    reply.body = std::move(body);
    return reply;
}

auto completeFrames(FrameReader &reader) -> std::vector<std::string>
{
    auto frames = std::vector<std::string>();
    while (const auto frame = reader.next()) {
        frames.emplace_back(reinterpret_cast<const char *>(frame->data()), frame->size());
    }
    return frames;
}

TEST(Codec, AMessageRoundTripsHoweverTheStreamIsSplit)
{
    EXPECT_TRUE(rc::check([](std::uint64_t query, const std::vector<std::uint8_t> &body, std::uint8_t step) {
        const auto sent = sampleReply(query, body);
        const auto bytes = encode(sent) + encode(sent);
        auto reader = FrameReader();
        auto received = std::vector<LeafReplyT>();
        const auto pieceSize = std::size_t{1} + step;
        for (auto at = std::size_t{0}; at < bytes.size(); at += pieceSize) {
            reader.append(std::span(bytes).subspan(at, std::min(pieceSize, bytes.size() - at)));
            for (const auto &frame : completeFrames(reader)) {
                const auto message = decode(std::span(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size()));
                RC_ASSERT(message.ok());
                received.push_back(*message->body.AsLeafReply());
            }
        }
        RC_ASSERT(received == (std::vector<LeafReplyT>{sent, sent}));
    }));
}

TEST(Codec, RandomBytesAreRefusedOrDecodedWithoutCrash)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &bytes) {
        const auto message = decode(bytes);
        RC_ASSERT(message.ok() || message.status().code() == absl::StatusCode::kInvalidArgument);
    }));
}

TEST(Codec, AMessageWithAChangedByteIsRefusedOrDecodedWithoutCrash)
{
    EXPECT_TRUE(rc::check([](std::uint16_t where, std::uint8_t value) {
        auto bytes = encode(sampleReply(7, {1, 2, 3})).substr(frameHeaderBytes);
        bytes[where % bytes.size()] = static_cast<char>(value);
        const auto message = decode(std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()));
        RC_ASSERT(message.ok() || message.status().code() == absl::StatusCode::kInvalidArgument);
    }));
}

TEST(Codec, ATruncatedMessageIsRefused)
{
    const auto bytes = encode(sampleReply(7, {1, 2, 3})).substr(frameHeaderBytes);
    const auto half = std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size() / 2);
    EXPECT_EQ(decode(half).status().code(), absl::StatusCode::kInvalidArgument);
}

auto errorOf(std::string header) -> std::optional<FrameError>
{
    auto reader = FrameReader();
    reader.append(header);
    EXPECT_FALSE(reader.next().has_value());
    return reader.error();
}

TEST(Frame, DistinguishesWrongProtocolVersionAndSize)
{
    EXPECT_EQ(errorOf("GET / HTTP/1.1\r\n"), FrameError::WrongProtocol);
    auto header = frameHeader(10);
    header[6] = 9;
    EXPECT_EQ(errorOf(header), FrameError::WrongVersion);
    EXPECT_EQ(errorOf(std::string("\0\0\0\0TS\1\0", 8)), FrameError::BadSize);
    EXPECT_EQ(errorOf(std::string("\xFF\xFF\xFF\xFFTS\1\0", 8)), FrameError::BadSize);
}

TEST(Frame, ReturnsNoMessageAfterAnError)
{
    auto reader = FrameReader();
    reader.append(std::string("XXXXXXXX"));
    EXPECT_FALSE(reader.next().has_value());
    reader.append(encode(HeartbeatT()));
    EXPECT_FALSE(reader.next().has_value());
    EXPECT_EQ(reader.error(), FrameError::WrongProtocol);
}

} // namespace
