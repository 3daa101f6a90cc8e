#include "../tests/raw_server.h"

#include "tamarackspan/base/clock.h"

#include <algorithm>
#include <cstdio>
#include <curl/curl.h>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;
using http::test::Action;
using http::test::okReply;
using http::test::RawServer;
using http::test::SeenRequest;

constexpr auto rounds = 2000;

/// Methods of preventing libcurl from sending a request again.
enum class Prevention {
    Plain,
    FreshConnection,
    NonRewindableBody,
    StopBeforeResend,
};

/// The body that a read callback still has to send, and how often libcurl was about to send the request.
struct Sending
{
    std::string body;
    std::size_t sent = 0;
    int times = 0;
};

auto readBody(char *to, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &sending = *static_cast<Sending *>(user);
    const auto length = std::min(size * count, sending.body.size() - sending.sent);
    sending.body.copy(to, length, sending.sent);
    sending.sent += length;
    return length;
}

auto allowOnce(void *user, char * /*remote*/, char * /*local*/, int /*remotePort*/, int /*localPort*/) -> int
{
    return static_cast<Sending *>(user)->times++ == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

auto discard(char * /*data*/, std::size_t size, std::size_t count, void * /*user*/) -> std::size_t
{
    return size * count;
}

auto post(CURL *easy, Prevention prevention, const std::string &url, const std::string &body) -> CURLcode
{
    auto sending = Sending{.body = body};
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    if (prevention == Prevention::NonRewindableBody) {
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, readBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, &sending);
    } else {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sending.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, prevention == Prevention::FreshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, prevention == Prevention::FreshConnection ? 1L : 0L);
    if (prevention == Prevention::StopBeforeResend) {
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, allowOnce);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &sending);
    }
    return curl_easy_perform(easy);
}

auto isBooking(const SeenRequest &request) -> bool
{
    return request.text.find("/book") != std::string::npos;
}

/// Opens a connection, sends a booking over it to a server that executes the second request of each connection and then closes without a response, and returns
/// how often the booking was executed.
auto runsWhenClosed(Prevention prevention, const std::string &body) -> long
{
    auto server = RawServer([](const SeenRequest &request) {
        const auto reused = request.numberOnConnection > 0;
        return Action{.reply = reused ? "" : okReply("ok"), .close = reused};
    });
    const auto url = "http://127.0.0.1:" + std::to_string(server.port());
    auto *easy = curl_easy_init();
    post(easy, Prevention::Plain, url + "/warm", "x");
    post(easy, prevention, url + "/book", body);
    curl_easy_cleanup(easy);
    const auto seen = server.seen();
    return std::count_if(seen.begin(), seen.end(), isBooking);
}

auto medianMicros(Prevention prevention) -> double
{
    auto server = RawServer([](const SeenRequest &) {
        return Action{.reply = okReply("ok")};
    });
    const auto url = "http://127.0.0.1:" + std::to_string(server.port()) + "/book";
    auto *easy = curl_easy_init();
    auto times = std::vector<double>();
    for (auto i = 0; i < rounds; ++i) {
        const auto start = base::monotonicNow();
        post(easy, prevention, url, "tray 7");
        times.push_back(absl::ToDoubleMicroseconds(base::monotonicNow() - start));
    }
    curl_easy_cleanup(easy);
    std::nth_element(times.begin(), times.begin() + rounds / 2, times.end());
    return times[rounds / 2];
}

auto print(const char *name, Prevention prevention) -> void
{
    std::printf("%-38s %12ld %12ld %12.0f\n", name, runsWhenClosed(prevention, "tray 7"), runsWhenClosed(prevention, ""), medianMicros(prevention));
}

} // namespace

auto main() -> int
{
    std::printf("runs of one booking on a reused connection that the server closes after running it; median of %d bookings on loopback\n", rounds);
    std::printf("%-38s %12s %12s %12s\n", "", "with a body", "without", "median us");
    print("plain", Prevention::Plain);
    print("new connection for each", Prevention::FreshConnection);
    print("body that can't be rewound", Prevention::NonRewindableBody);
    print("stopped before a second sending", Prevention::StopBeforeResend);
    return 0;
}
