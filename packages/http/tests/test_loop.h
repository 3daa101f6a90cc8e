#pragma once

#include "tamarackspan/base/clock.h"
#include "tamarackspan/http/client.h"
#include "tamarackspan/transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace tamarackspan::http::test {

inline auto requestTo(std::uint16_t port, std::string method, const std::string &path, std::string body = {}) -> Request
{
    return {.method = std::move(method),
            .url = "http://127.0.0.1:" + std::to_string(port) + path,
            .body = std::move(body),
            .timeout = absl::Seconds(5),
            .pool = std::to_string(port),
            .maxConnections = 4};
}

/// A client on an event loop with a thread of its own, for use from the test's thread.
class TestLoop
{
public:
    explicit TestLoop(ClientOptions options = {})
    {
        this->client = std::make_unique<Client>(this->loop, options);
        this->thread = std::thread([this] {
            this->loop.run();
        });
    }

    ~TestLoop()
    {
        this->stop();
    }

    TestLoop(const TestLoop &) = delete;
    auto operator=(const TestLoop &) -> TestLoop & = delete;

    /// Stops the loop and destroys its client.
    auto stop() -> void
    {
        if (this->thread.joinable()) {
            this->call([this] {
                this->client.reset();
            });
            this->loop.stop();
            this->thread.join();
        }
    }

    /// Runs a function on the loop's thread and waits for it.
    auto call(const std::function<void()> &function) -> void
    {
        auto done = std::promise<void>();
        this->loop.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    auto send(Request request) -> std::future<Response>
    {
        auto id = RequestId{0};
        return this->send(std::move(request), id);
    }

    auto send(Request request, RequestId &id) -> std::future<Response>
    {
        auto promise = std::make_shared<std::promise<Response>>();
        this->call([&] {
            id = this->client->send(std::move(request), [promise](Response response) {
                promise->set_value(std::move(response));
            });
        });
        return promise->get_future();
    }

    auto exchange(Request request) -> Response
    {
        return this->send(std::move(request)).get();
    }

    auto cancel(RequestId id) -> void
    {
        this->call([&] {
            this->client->cancel(id);
        });
    }

    auto poolCounts(const std::string &pool) -> PoolCounts
    {
        auto counts = PoolCounts();
        this->call([&] {
            counts = this->client->poolCounts(pool);
        });
        return counts;
    }

private:
    transport::EventLoop loop;
    std::unique_ptr<Client> client;
    std::thread thread;
};

} // namespace tamarackspan::http::test
