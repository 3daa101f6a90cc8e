#include "ready_callers.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/testkit/history.h"
#include "tamarackspan/testkit/http_client.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <curl/curl.h>

namespace tamarackspan::execution_test {

namespace {

using Json = nlohmann::json;

constexpr auto pollInterval = absl::Milliseconds(100);
constexpr auto pause = absl::Milliseconds(20);
constexpr auto callTimeoutMillis = 10'000L;
constexpr auto okStatus = 200L;

struct Reply
{
    std::string body;
    std::string run;
};

auto appendBody(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    static_cast<Reply *>(target)->body.append(data, size * count);
    return size * count;
}

auto readHeader(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    const auto line = absl::string_view(data, size * count);
    if (absl::StartsWithIgnoreCase(line, "Tamarackspan-Run:")) {
        static_cast<Reply *>(target)->run = std::string(absl::StripAsciiWhitespace(line.substr(line.find(':') + 1)));
    }
    return size * count;
}

/// The keep-alive connections of one caller.
class Connection
{
public:
    ~Connection()
    {
        curl_easy_cleanup(this->easy);
    }

    /// Sends the request and returns its record; on status 200, "answer" holds the body.
    auto post(const std::string &address, const std::string &action, const std::string &marker, const std::string &ticket) -> Json
    {
        const auto isQuery = action == "query";
        const auto url = absl::StrCat("http://", address, "/v1/customers/desk/operations/", isQuery ? "find/" : "book/", action);
        const auto body = Json{{"marker", marker}}.dump();
        auto reply = Reply();
        auto *headers = curl_slist_append(nullptr, "Expect:");
        if (!ticket.empty()) {
            headers = curl_slist_append(headers, absl::StrCat("Tamarackspan-Ticket: ", ticket).c_str());
            headers = curl_slist_append(headers, absl::StrCat("Tamarackspan-Routing-Key: ", marker).c_str());
        }
        curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS, callTimeoutMillis);
        curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, &reply);
        curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &readHeader);
        curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, &reply);
        const auto started = base::monotonicNow();
        const auto code = curl_easy_perform(this->easy);
        auto status = 0L;
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
        curl_slist_free_all(headers);
        auto call = Json{{"type", "call"},
                         {"caller", "ready"},
                         {"kind", isQuery ? "query" : "execute"},
                         {"customer", "desk"},
                         {"operation", isQuery ? "find" : "book"},
                         {"marker", marker},
                         {"ticket", ticket},
                         {"address", address},
                         {"started", testkit::historyTime(started)},
                         {"ended", testkit::historyTime(base::monotonicNow())},
                         {"status", code == CURLE_OK ? status : 0},
                         {"run", code == CURLE_OK ? reply.run : "may-have-run"},
                         {"reason", code == CURLE_OK ? "" : curl_easy_strerror(code)},
                         {"answer", nullptr}};
        const auto parsed = Json::parse(reply.body, nullptr, false);
        if (code == CURLE_OK && status == okStatus) {
            call["answer"] = parsed;
        } else if (code == CURLE_OK && parsed.is_object()) {
            call["reason"] = parsed.value(Json::json_pointer("/error/reason"), "untyped");
        }
        return call;
    }

private:
    CURL *easy = curl_easy_init();
};

} // namespace

ReadyCallers::ReadyCallers(ExecutionFleet &fleet, std::size_t callers, std::uint64_t seed)
    : fleet(fleet)
{
    for (auto i = std::size_t{0}; i < fleet.callerAddresses().size(); ++i) {
        this->hosts.push_back(fleet.hosts().addresses(i));
        this->readyHosts.push_back(this->hosts.back().caller);
    }
    this->threads.emplace_back([this] {
        this->pollReadiness();
    });
    for (auto i = std::size_t{0}; i < callers; ++i) {
        this->threads.emplace_back([this, i, seed] {
            this->runCaller(i, seed + i);
        });
    }
}

ReadyCallers::~ReadyCallers()
{
    this->stop();
}

auto ReadyCallers::stop() -> void
{
    this->stopping = true;
    for (auto &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

auto ReadyCallers::pollReadiness() -> void
{
    while (!this->stopping) {
        auto found = std::vector<std::string>();
        for (const auto &host : this->hosts) {
            const auto result = testkit::httpSend("GET", absl::StrCat("http://", host.admin, "/ready"), {}, {}, absl::Seconds(1));
            if (result.ok() && result->status == okStatus) {
                found.push_back(host.caller);
            }
        }
        {
            const auto lock = std::scoped_lock(this->mutex);
            this->readyHosts = std::move(found);
        }
        absl::SleepFor(pollInterval);
    }
}

auto ReadyCallers::readyAddresses() const -> std::vector<std::string>
{
    const auto lock = std::scoped_lock(this->mutex);
    return this->readyHosts;
}

auto ReadyCallers::runCaller(std::size_t caller, std::uint64_t seed) -> void
{
    auto random = base::Random(seed);
    auto connection = Connection();
    for (auto number = 0; !this->stopping; ++number) {
        const auto addresses = this->readyAddresses();
        if (addresses.empty()) {
            this->fleet.addCall(Json{{"type", "call"}, {"reason", "no host is ready"}});
            absl::SleepFor(pollInterval);
            continue;
        }
        const auto marker = absl::StrCat("ready-", seed, "-", number);
        const auto &address = addresses[random.below(addresses.size())];
        if (number % 2 == 0) {
            this->fleet.addCall(connection.post(address, "query", marker, {}));
        } else {
            auto ticket = connection.post(address, "tickets", marker, {});
            if (ticket.at("status") != okStatus) {
                ticket["run"] = "not-run";
                this->fleet.addCall(std::move(ticket));
                continue;
            }
            // The ticket may be submitted through any host that is ready by now.
            const auto later = this->readyAddresses();
            const auto &through = later.empty() ? address : later[random.below(later.size())];
            this->fleet.addCall(connection.post(through, "execute", marker, ticket.at("answer").value("ticket", "")));
        }
        absl::SleepFor(pause);
    }
    static_cast<void>(caller);
}

} // namespace tamarackspan::execution_test
