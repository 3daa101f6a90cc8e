#include "tamarackspan/base/clock.h"
#include "tamarackspan/http/client.h"
#include "tamarackspan/http/server.h"
#include "tamarackspan/transport/event_loop.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <curl/curl.h>
#include <microhttpd.h>
#include <string>
#include <thread>

namespace {

using namespace tamarackspan;

constexpr auto pools = 8;
constexpr auto connectionsPerPool = 8;
constexpr auto replyBytes = std::size_t{300};
constexpr auto bodyBytes = std::size_t{200};

auto cpuSeconds(clockid_t clock) -> double
{
    auto time = timespec{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// The cost of one method of sending.
struct Cost
{
    int requests = 0;
    double wall = 0;
    /// CPU time in seconds of the client's thread, and of the rest of the process, which is the server.
    double client = 0;
    double server = 0;
};

template<typename Function>
auto measure(int requests, Function function) -> Cost
{
    const auto wall = cpuSeconds(CLOCK_MONOTONIC);
    const auto thread = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
    const auto process = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
    function();
    const auto client = cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - thread;
    return {requests, cpuSeconds(CLOCK_MONOTONIC) - wall, client, cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - process - client};
}

auto print(const char *name, const Cost &cost) -> void
{
    const auto each = 1e6 / cost.requests;
    std::printf("%-40s %8.0f requests/s, client %5.1f us and server %5.1f us of processor time a request\n", name, cost.requests / cost.wall,
                cost.client * each, cost.server * each);
}

auto leafHeaders() -> http::Headers
{
    return {{"Tamarackspan-Request", "1a2b3c4d5e6f-123"}, {"Tamarackspan-Service", "lots"},   {"Tamarackspan-Index-Version", "42"},
            {"Tamarackspan-Map-Generation", "7"},         {"Tamarackspan-Deadline-Ms", "80"}, {"Tamarackspan-Customer", "agronomy-desk"},
            {"Tamarackspan-Operation", "lot-history"},    {"Tamarackspan-Priority", "urgent"}};
}

/// Each pool uses another loopback address of the same server.
auto urlOf(std::uint16_t port, int pool) -> std::string
{
    return "http://127.0.0." + std::to_string(pool + 1) + ":" + std::to_string(port) + "/v1/shards/3/query";
}

/// Keeps a fixed number of requests in flight.
class LoopDriver
{
public:
    LoopDriver(std::uint16_t port, int requests, int concurrency)
        : client(std::make_unique<http::Client>(this->loop, http::ClientOptions{})),
          port(port),
          left(requests),
          concurrency(concurrency)
    {
    }

    auto run() -> void
    {
        for (auto i = 0; i < this->concurrency; ++i) {
            this->sendNext(i % pools);
        }
        this->loop.run();
        this->client.reset();
    }

    int failed = 0;

private:
    auto sendNext(int pool) -> void
    {
        if (this->left == 0) {
            return;
        }
        --this->left;
        ++this->open;
        auto request = http::Request{.method = "POST",
                                     .url = urlOf(this->port, pool),
                                     .headers = leafHeaders(),
                                     .body = std::string(bodyBytes, 'q'),
                                     .timeout = absl::Seconds(5),
                                     .pool = std::to_string(pool),
                                     .maxConnections = connectionsPerPool};
        this->client->send(std::move(request), [this, pool](const http::Response &response) {
            if (response.status != 200) {
                ++this->failed;
                std::printf("  %s: %s\n", std::string(http::toString(response.outcome)).c_str(), response.error.c_str());
            }
            this->sendNext(pool);
            if (--this->open == 0) {
                this->loop.stop();
            }
        });
    }

    transport::EventLoop loop;
    std::unique_ptr<http::Client> client;
    std::uint16_t port;
    int left;
    int concurrency;
    int open = 0;
};

auto countBytes(char * /*data*/, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    *static_cast<std::size_t *>(user) += size * count;
    return size * count;
}

/// A blocking easy handle on one persistent connection: the lower bound for the cost of libcurl.
auto sendBlocking(std::uint16_t port, int requests) -> void
{
    auto *easy = curl_easy_init();
    auto *headers = static_cast<curl_slist *>(nullptr);
    for (const auto &header : leafHeaders()) {
        headers = curl_slist_append(headers, (header.name + ": " + header.value).c_str());
    }
    const auto url = urlOf(port, 0);
    const auto body = std::string(bodyBytes, 'q');
    auto bytes = std::size_t{0};
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, countBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &bytes);
    for (auto i = 0; i < requests; ++i) {
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_perform(easy);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
}

auto answerAtOnce(void *user, MHD_Connection *connection, const char * /*url*/, const char * /*method*/, const char * /*version*/, const char * /*data*/,
                  std::size_t *size, void **request) -> MHD_Result
{
    if (*request == nullptr) {
        *request = user;
        return MHD_YES;
    }
    if (*size != 0) {
        *size = 0;
        return MHD_YES;
    }
    return MHD_queue_response(connection, 200, static_cast<MHD_Response *>(user));
}

auto runAll(const char *server, std::uint16_t port, int requests) -> void
{
    std::printf("server: %s\n", server);
    print("  one blocking easy handle", measure(requests / 4, [&] {
              sendBlocking(port, requests / 4);
          }));
    for (const auto concurrency : {1, pools, pools * connectionsPerPool}) {
        auto driver = LoopDriver(port, concurrency == 1 ? requests / 4 : requests, concurrency);
        const auto cost = measure(concurrency == 1 ? requests / 4 : requests, [&] {
            driver.run();
        });
        print(("  http::Client, " + std::to_string(concurrency) + " under way").c_str(), cost);
        if (driver.failed > 0) {
            std::printf("  %d requests failed\n", driver.failed);
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto requests = argc > 1 ? std::atoi(argv[1]) : 80'000;
    std::printf("%d requests with 8 headers and a body of %zu bytes, replies of %zu bytes, one client thread, two server threads\n", requests, bodyBytes,
                replyBytes);
    auto reply = std::string(replyBytes, 'r');
    auto *response = MHD_create_response_from_buffer(reply.size(), reply.data(), MHD_RESPMEM_PERSISTENT);
    auto *daemon =
        MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, answerAtOnce, response, MHD_OPTION_THREAD_POOL_SIZE, 2U, MHD_OPTION_END);
    runAll("libmicrohttpd with one constant response", MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port, requests);
    MHD_stop_daemon(daemon);
    MHD_destroy_response(response);
    auto own = http::Server({.ip = "0.0.0.0", .threads = 2, .drainIdleTime = absl::ZeroDuration()},
                            [&reply](const std::shared_ptr<const http::ServerRequest> &, http::Responder responder) {
                                responder.answer({.body = reply});
                            });
    runAll("http::Server", own.port(), requests);
    return 0;
}
