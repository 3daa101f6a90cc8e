#include "tamarackspan/testkit/load_driver.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/base/require.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto okStatus = 200U;
constexpr auto progressInterval = absl::Seconds(1);
constexpr auto maxPollWait = absl::Milliseconds(100);

/// The endpoint that a transfer is calling.
enum class Step {
    Query,
    Ticket,
    Execute,
};

/// One call in flight.
struct Transfer
{
    Transfer() = default;
    ~Transfer()
    {
        curl_easy_cleanup(this->easy);
        curl_slist_free_all(this->headers);
    }
    Transfer(const Transfer &) = delete;
    auto operator=(const Transfer &) -> Transfer & = delete;

    CURL *easy = curl_easy_init();
    curl_slist *headers = nullptr;
    CallRecord call;
    Step step = Step::Query;
    std::size_t address = 0;
    std::string routingKey;
    std::uint32_t attempts = 1;
    std::string body;
    std::string runHeader;
};

auto appendBody(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    static_cast<Transfer *>(target)->body.append(data, size * count);
    return size * count;
}

auto readHeader(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    const auto line = absl::string_view(data, size * count);
    if (absl::StartsWithIgnoreCase(line, "Tamarackspan-Run:")) {
        static_cast<Transfer *>(target)->runHeader = std::string(absl::StripAsciiWhitespace(line.substr(line.find(':') + 1)));
    }
    return size * count;
}

auto failedToConnect(CURLcode code) -> bool
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

class Driver
{
public:
    Driver(const LoadOptions &options, const LoadObserver &observer)
        : options(options),
          observer(observer),
          random(options.seed),
          multi(curl_multi_init()),
          begin(base::monotonicNow()),
          nextArrival(this->begin),
          nextProgress(this->begin + progressInterval)
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.inFlight));
        for (const auto &entry : options.mix) {
            this->totalWeight += entry.weight;
        }
    }

    ~Driver()
    {
        curl_multi_cleanup(this->multi);
    }

    Driver(const Driver &) = delete;
    auto operator=(const Driver &) -> Driver & = delete;

    auto run() -> LoadProgress
    {
        while (this->mayStart() || !this->transfers.empty()) {
            this->startDue();
            auto running = 0;
            curl_multi_perform(this->multi, &running);
            this->collect();
            this->report();
            curl_multi_poll(this->multi, nullptr, 0, this->pollMillis(), nullptr);
        }
        return this->progress();
    }

private:
    [[nodiscard]] auto mayStart() const -> bool
    {
        return this->drawn < this->options.count && this->nextArrival < this->begin + this->options.duration
            && base::monotonicNow() < this->begin + this->options.duration;
    }

    auto startDue() -> void
    {
        const auto closedLoop = this->options.rate <= 0;
        const auto now = base::monotonicNow();
        while (this->mayStart() && (closedLoop ? this->transfers.size() < this->options.inFlight : this->nextArrival <= now)) {
            const auto due = closedLoop ? now : this->nextArrival;
            if (!closedLoop) {
                this->nextArrival += absl::Seconds(-std::log(1 - this->random.unit()) / this->options.rate);
            }
            this->startCall(due);
        }
    }

    /// Draws a call and sends it. The random sequence doesn't depend on earlier replies.
    auto startCall(absl::Time due) -> void
    {
        const auto &entry = this->drawEntry();
        const auto address = this->random.below(this->options.addresses.size());
        const auto routingKey = absl::StrCat("key-", this->random.below(this->options.routingKeys));
        const auto marker = absl::StrCat(this->options.caller, "-", this->options.seed, "-", this->drawn++);
        if (this->transfers.size() >= this->options.inFlight) {
            ++this->notSent;
            return;
        }
        auto transfer = std::make_unique<Transfer>();
        transfer->call.customer = entry.customer;
        transfer->call.operation = entry.operation;
        transfer->call.execute = entry.execute;
        transfer->call.marker = marker;
        transfer->call.due = due;
        transfer->step = entry.execute ? Step::Ticket : Step::Query;
        transfer->address = address;
        transfer->routingKey = routingKey;
        this->send(std::move(transfer));
    }

    auto drawEntry() -> const MixEntry &
    {
        auto left = this->random.unit() * this->totalWeight;
        for (const auto &entry : this->options.mix) {
            left -= entry.weight;
            if (left < 0) {
                return entry;
            }
        }
        return this->options.mix.back();
    }

    static auto endpointOf(Step step) -> const char *
    {
        switch (step) {
        case Step::Query:
            return "query";
        case Step::Ticket:
            return "tickets";
        case Step::Execute:
            return "execute";
        }
        return "";
    }

    auto send(std::unique_ptr<Transfer> transfer) -> void
    {
        auto &call = transfer->call;
        call.address = this->options.addresses[transfer->address];
        call.started = base::monotonicNow();
        const auto url =
            absl::StrCat("http://", call.address, "/v1/customers/", call.customer, "/operations/", call.operation, "/", endpointOf(transfer->step));
        const auto body = transfer->step == Step::Ticket ? std::string() : Json{{"marker", call.marker}}.dump();
        this->setHeaders(*transfer);
        auto *easy = transfer->easy;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body.data());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(this->options.timeout)));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &readHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
        if (call.execute) {
            // libcurl automatically resends a request when a reused connection closes, so executes use a new connection each.
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_multi_add_handle(this->multi, easy);
        this->transfers.insert(std::move(transfer));
    }

    auto setHeaders(Transfer &transfer) const -> void
    {
        curl_slist_free_all(transfer.headers);
        transfer.headers = curl_slist_append(nullptr, "Expect:");
        const auto add = [&transfer](const std::string &line) {
            transfer.headers = curl_slist_append(transfer.headers, line.c_str());
        };
        if (this->options.deadline > absl::ZeroDuration()) {
            add(absl::StrCat("Tamarackspan-Deadline-Ms: ", absl::ToInt64Milliseconds(this->options.deadline)));
        }
        if (transfer.step == Step::Execute) {
            add(absl::StrCat("Tamarackspan-Ticket: ", transfer.call.ticket));
            add(absl::StrCat("Tamarackspan-Routing-Key: ", transfer.routingKey));
        }
    }

    auto collect() -> void
    {
        auto left = 0;
        while (const auto *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *ended = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
            const auto code = message->data.result;
            curl_multi_remove_handle(this->multi, message->easy_handle);
            const auto place = std::find_if(this->transfers.begin(), this->transfers.end(), [ended](const auto &transfer) {
                return transfer.get() == ended;
            });
            this->end(std::move(this->transfers.extract(place).value()), code);
        }
    }

    auto end(std::unique_ptr<Transfer> transfer, CURLcode code) -> void
    {
        auto &call = transfer->call;
        call.ended = base::monotonicNow();
        readReply(*transfer, code);
        if (transfer->step == Step::Ticket && call.status == okStatus) {
            call.ticket = call.answer.value("ticket", "");
            call.answer = nullptr;
            transfer->step = Step::Execute;
            this->resend(std::move(transfer));
            return;
        }
        this->finish(call);
        if (transfer->step == Step::Execute && call.run == "may-have-run" && transfer->attempts < this->options.executeAttempts) {
            ++transfer->attempts;
            transfer->address = (transfer->address + 1) % this->options.addresses.size();
            this->resend(std::move(transfer));
        }
    }

    auto resend(std::unique_ptr<Transfer> transfer) -> void
    {
        transfer->body.clear();
        transfer->runHeader.clear();
        this->send(std::move(transfer));
    }

    static auto readReply(Transfer &transfer, CURLcode code) -> void
    {
        auto &call = transfer.call;
        call.answer = nullptr;
        call.reason.clear();
        if (code != CURLE_OK) {
            call.status = 0;
            call.run = failedToConnect(code) || transfer.step == Step::Ticket ? "not-run" : "may-have-run";
            call.reason = curl_easy_strerror(code);
            return;
        }
        auto status = 0L;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        call.status = static_cast<std::uint32_t>(status);
        call.run = transfer.runHeader;
        auto json = Json::parse(transfer.body, nullptr, false);
        if (call.status == okStatus) {
            call.answer = json.is_discarded() ? Json() : std::move(json);
            return;
        }
        const auto reason = Json::json_pointer("/error/reason");
        call.reason = json.is_object() && json.contains(reason) && json.at(reason).is_string() ? json.at(reason).get<std::string>() : "untyped";
    }

    auto finish(const CallRecord &call) -> void
    {
        ++this->finished;
        this->answers += call.status == okStatus ? 1 : 0;
        this->observer.onCall(call);
    }

    [[nodiscard]] auto progress() const -> LoadProgress
    {
        return {.elapsed = base::monotonicNow() - this->begin,
                .finished = this->finished,
                .answers = this->answers,
                .inFlight = this->transfers.size(),
                .notSent = this->notSent};
    }

    auto report() -> void
    {
        if (base::monotonicNow() >= this->nextProgress) {
            this->nextProgress += progressInterval;
            this->observer.onProgress(this->progress());
        }
    }

    [[nodiscard]] auto pollMillis() const -> int
    {
        if (!this->mayStart()) {
            return static_cast<int>(absl::ToInt64Milliseconds(this->transfers.empty() ? absl::ZeroDuration() : maxPollWait));
        }
        if (this->options.rate <= 0) {
            const auto full = this->transfers.size() >= this->options.inFlight;
            return static_cast<int>(absl::ToInt64Milliseconds(full ? maxPollWait : absl::ZeroDuration()));
        }
        const auto wait = std::clamp(this->nextArrival - base::monotonicNow(), absl::ZeroDuration(), maxPollWait);
        return static_cast<int>(absl::ToInt64Milliseconds(wait));
    }

    const LoadOptions &options;
    const LoadObserver &observer;
    base::Random random;
    CURLM *multi;
    absl::Time begin;
    absl::Time nextArrival;
    absl::Time nextProgress;
    double totalWeight = 0;
    std::uint64_t drawn = 0;
    std::uint64_t finished = 0;
    std::uint64_t answers = 0;
    std::uint64_t notSent = 0;
    std::set<std::unique_ptr<Transfer>> transfers;
};

} // namespace

auto driveLoad(const LoadOptions &options, const LoadObserver &observer) -> LoadProgress
{
    base::require(!options.addresses.empty() && !options.mix.empty(), "the load options must contain an address and a mix");
    return Driver(options, observer).run();
}

} // namespace tamarackspan::testkit
