#include "tamarackspan/daemon/leaf_http.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <string_view>

namespace tamarackspan::daemon {

namespace {

constexpr auto headerPrefix = std::string_view("Tamarackspan-");
constexpr auto cancelTimeout = absl::Milliseconds(500);
constexpr auto statusTimeout = absl::Seconds(1);

auto headerName(std::string_view name) -> std::string
{
    return std::string(headerPrefix).append(name);
}

auto addHeader(http::Request &request, std::string_view name, std::string value) -> void
{
    request.headers.push_back({headerName(name), std::move(value)});
}

auto textOf(const http::Response &response, std::string_view name) -> std::string_view
{
    const auto *value = http::findHeader(response.headers, headerName(name));
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

auto numberOf(const http::Response &response, std::string_view name) -> std::uint64_t
{
    auto number = std::uint64_t{0};
    return absl::SimpleAtoi(std::string(textOf(response, name)), &number) ? number : 0;
}

auto baseRequest(const contracts::Leaf &leaf, std::uint32_t connections, std::string_view path) -> http::Request
{
    auto request = http::Request();
    request.pool = leafPool(leaf);
    request.url = absl::StrCat("http://", request.pool).append(path);
    request.maxConnections = connections;
    return request;
}

auto heldVersions(const http::Response &response) -> std::vector<base::IndexVersion>
{
    auto versions = std::vector<base::IndexVersion>();
    for (const auto &part : absl::StrSplit(std::string(textOf(response, "Index-Versions")), ',', absl::SkipWhitespace())) {
        auto number = std::uint64_t{0};
        if (absl::SimpleAtoi(part, &number)) {
            versions.emplace_back(number);
        }
    }
    return versions;
}

struct NamedOutcome
{
    std::string_view name;
    query::LeafOutcome outcome;
    RunState run;
    routing::RunEnd end;
    bool hasRows;
};

constexpr auto namedOutcomes = std::array{
    NamedOutcome{"complete", query::LeafOutcome::Complete, RunState::Ran, routing::RunEnd::Answered, true},
    NamedOutcome{"partial", query::LeafOutcome::Partial, RunState::Ran, routing::RunEnd::Answered, true},
    NamedOutcome{"executed", query::LeafOutcome::Complete, RunState::Ran, routing::RunEnd::Answered, false},
    NamedOutcome{"rejected", query::LeafOutcome::Complete, RunState::NotRun, routing::RunEnd::Answered, false},
    NamedOutcome{"not-held", query::LeafOutcome::NotHeld, RunState::NotRun, routing::RunEnd::Declined, false},
    NamedOutcome{"shed", query::LeafOutcome::Shed, RunState::NotRun, routing::RunEnd::Shed, false},
    NamedOutcome{"draining", query::LeafOutcome::Draining, RunState::NotRun, routing::RunEnd::Draining, false},
    NamedOutcome{"deadline", query::LeafOutcome::TimedOut, RunState::MayHaveRun, routing::RunEnd::Answered, false},
    NamedOutcome{"cancelled", query::LeafOutcome::Cancelled, RunState::MayHaveRun, routing::RunEnd::Cancelled, false},
};

auto transportFailure(const http::Response &response) -> LeafResponse
{
    auto result = LeafResponse();
    result.reply.run = response.bytesMayHaveBeenSent ? RunState::MayHaveRun : RunState::NotRun;
    result.reply.reachedLeaf = response.bytesMayHaveBeenSent;
    result.reply.outcome = response.outcome == http::Outcome::Timeout ? query::LeafOutcome::TimedOut : query::LeafOutcome::Failed;
    result.reply.reason = std::string(http::toString(response.outcome));
    result.end = response.bytesMayHaveBeenSent ? routing::RunEnd::ConnectionLost : routing::RunEnd::Declined;
    return result;
}

auto isReplyTo(const LeafWork &work, const http::Response &response) -> bool
{
    return textOf(response, "Request") == work.requestName && textOf(response, "Shard") == std::to_string(work.shard.get());
}

/// A reply without the protocol's headers, such as the plain error of an HTTP server. It names no other request, so it is the reply to the request that was
/// sent on its connection, and the leaf has finished that request.
auto bareResponse() -> LeafResponse
{
    auto result = LeafResponse();
    result.reply.run = RunState::MayHaveRun;
    result.reply.reachedLeaf = true;
    result.reply.reason = "the leaf's reply has no headers of the protocol";
    result.end = routing::RunEnd::Failed;
    return result;
}

auto crossedResponse() -> LeafResponse
{
    auto result = LeafResponse();
    result.crossed = true;
    result.reply.run = RunState::MayHaveRun;
    result.reply.reachedLeaf = true;
    result.reply.reason = "the reply was to another request";
    return result;
}

} // namespace

auto leafPool(const contracts::Leaf &leaf) -> std::string
{
    return absl::StrCat(leaf.address, ":", leaf.port);
}

auto leafRequest(const contracts::Leaf &leaf, std::uint32_t connections, const LeafWork &work, absl::Time now, absl::Duration replyGrace) -> http::Request
{
    const auto timeLeft = std::max(work.deadline - now, absl::Milliseconds(1));
    auto request = baseRequest(leaf, connections, absl::StrCat("/v1/shards/", work.shard.get(), work.ticket ? "/execute" : "/query"));
    request.method = "POST";
    request.body = *work.body;
    request.timeout = timeLeft + replyGrace;
    addHeader(request, "Request", work.requestName);
    addHeader(request, "Service", work.service.get());
    addHeader(request, "Index-Version", std::to_string(work.pin.indexVersion.get()));
    addHeader(request, "Map-Generation", std::to_string(work.pin.mapGeneration.get()));
    addHeader(request, "Deadline-Ms", std::to_string(absl::ToInt64Milliseconds(timeLeft)));
    addHeader(request, "Customer", work.customer.get());
    addHeader(request, "Operation", work.operation.get());
    addHeader(request, "Priority", work.priority == contracts::Priority::Urgent ? "urgent" : "routine");
    if (work.ticket) {
        request.resendPolicy = http::ResendPolicy::AtMostOnce;
        addHeader(request, "Ticket", *work.ticket);
    }
    return request;
}

auto cancelRequest(const contracts::Leaf &leaf, std::uint32_t connections, const std::string &requestName) -> http::Request
{
    auto request = baseRequest(leaf, connections, "/v1/requests/" + requestName);
    request.method = "DELETE";
    request.timeout = cancelTimeout;
    return request;
}

auto statusRequest(const contracts::Leaf &leaf, std::uint32_t connections) -> http::Request
{
    auto request = baseRequest(leaf, connections, "/v1/status");
    request.timeout = statusTimeout;
    return request;
}

auto readLeafResponse(const LeafWork &work, const http::Response &response) -> LeafResponse
{
    if (response.outcome != http::Outcome::Ok) {
        return transportFailure(response);
    }
    if (http::findHeader(response.headers, headerName("Request")) == nullptr) {
        return bareResponse();
    }
    if (!isReplyTo(work, response)) {
        return crossedResponse();
    }
    auto result = LeafResponse();
    auto &reply = result.reply;
    reply.reachedLeaf = true;
    reply.costMicros = numberOf(response, "Cost-Micros");
    reply.heldVersions = heldVersions(response);
    reply.leafDraining = textOf(response, "Draining") == "true";
    const auto name = textOf(response, "Outcome");
    const auto *known = std::find_if(namedOutcomes.begin(), namedOutcomes.end(), [&](const NamedOutcome &candidate) {
        return candidate.name == name;
    });
    if (known == namedOutcomes.end()) {
        reply.run = RunState::MayHaveRun;
        reply.reason = "the leaf named no known outcome";
        result.end = routing::RunEnd::Answered;
        return result;
    }
    reply.outcome = known->outcome;
    reply.run = known->run;
    reply.rejected = name == "rejected";
    result.end = known->end;
    reply.body = response.body;
    if (known->hasRows) {
        reply.pin = query::Pin{base::IndexVersion(numberOf(response, "Index-Version")), base::Revision(numberOf(response, "Map-Generation"))};
    }
    if (known->run != RunState::Ran) {
        reply.reason = std::string(name);
    }
    return result;
}

} // namespace tamarackspan::daemon
