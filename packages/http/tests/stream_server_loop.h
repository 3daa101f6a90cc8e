#pragma once

#include "loop_thread.h"

#include "tamarackspan/http/stream_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace tamarackspan::http::test {

/// A stream server on a loopback port, with an event loop of its own.
struct StreamServerLoop
{
    using OnRequest = std::function<void(StreamServer &server, ExchangeId id, StreamMessage message)>;

    StreamServerLoop(StreamServerLimits limits, OnRequest onRequest)
    {
        this->server = std::make_unique<StreamServer>(
            this->thread.loop, limits,
            StreamServer::Handlers{.onRequest =
                                       [this, onRequest = std::move(onRequest)](ExchangeId id, StreamMessage message, RequestOrigin) {
                                           onRequest(*this->server, id, std::move(message));
                                       },
                                   .onCallerDisconnected = [](ExchangeId) {}});
        this->port = *this->server->listen({.ip = "127.0.0.1", .port = 0});
        this->thread.start();
    }

    ~StreamServerLoop()
    {
        this->thread.stop();
        this->server.reset();
    }

    StreamServerLoop(const StreamServerLoop &) = delete;
    auto operator=(const StreamServerLoop &) -> StreamServerLoop & = delete;

    auto setLimits(const StreamServerLimits &limits) -> void
    {
        this->thread.run([this, &limits] {
            this->server->setLimits(limits);
        });
    }

    LoopThread thread;
    std::unique_ptr<StreamServer> server;
    std::uint16_t port = 0;
};

} // namespace tamarackspan::http::test
