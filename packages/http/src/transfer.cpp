#include "transfer.h"

#include "impl/message_syntax.h"

#include "tamarackspan/base/require.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <string_view>
#include <tuple>
#include <utility>

namespace tamarackspan::http {

auto toString(Outcome outcome) noexcept -> std::string_view
{
    switch (outcome) {
    case Outcome::Ok:
        return "ok";
    case Outcome::InvalidRequest:
        return "invalid request";
    case Outcome::ConnectFailed:
        return "connect failed";
    case Outcome::Timeout:
        return "timeout";
    case Outcome::Closed:
        return "closed";
    case Outcome::TooLarge:
        return "too large";
    case Outcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace tamarackspan::http

namespace tamarackspan::http::impl {

namespace {

constexpr auto methods = std::array<std::string_view, 5>{"GET", "POST", "PUT", "DELETE", "HEAD"};
constexpr auto scheme = absl::string_view("http://");

auto isIpAddress(std::string_view host) -> bool
{
    auto address = in6_addr{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &address) == 1;
    }
    return inet_pton(AF_INET, std::string(host).c_str(), &address) == 1;
}

auto hasIpHost(std::string_view url) -> bool
{
    if (!absl::StartsWith(absl::string_view(url.data(), url.size()), scheme)) {
        return false;
    }
    const auto authority = authorityOf(url);
    const auto portAt = authority.find(':', authority.starts_with('[') ? authority.find(']') : 0);
    return isIpAddress(std::string_view(authority).substr(0, portAt));
}

auto isPlainHeader(const Header &header) -> bool
{
    const auto breaksLine = [](const std::string &text) {
        return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
    };
    return !header.name.empty() && !breaksLine(header.name) && !breaksLine(header.value);
}

auto hasBody(const Request &request) -> bool
{
    return request.method == "POST" || request.method == "PUT";
}

auto onBody(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(user);
    const auto length = size * count;
    if (transfer.response.body.size() + length > transfer.request.maxResponseBytes) {
        transfer.stopReason = StopReason::TooLarge;
        return 0;
    }
    transfer.response.body.append(data, length);
    return length;
}

auto trimmed(std::string_view text) -> std::string
{
    return std::string(absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size())));
}

/// Makes libcurl end the transfer and close its connection.
auto stopAsInvalid(Transfer &transfer) -> std::size_t
{
    transfer.stopReason = StopReason::InvalidResponse;
    return 0;
}

/// Reads a status line; returns false if it isn't one of HTTP/1.0 or 1.1 with a status from 100 to 599 other than 101, since no upgrade is requested.
/// libcurl itself accepts some others.
auto beginResponse(Transfer &transfer, std::string_view line) -> bool
{
    constexpr auto statusAt = std::size_t{9};
    constexpr auto statusSize = std::size_t{3};
    constexpr auto switchingStatus = std::uint32_t{101};
    transfer.response.headers.clear();
    transfer.statesBody = false;
    transfer.part = ResponsePart::Fields;
    return MessageSyntax(false).check(line, false) && line.size() >= statusAt + statusSize
        && absl::SimpleAtoi(absl::string_view(line.data() + statusAt, statusSize), &transfer.status) && transfer.status != switchingStatus;
}

/// Ends the fields of a response; returns false if they state a body that its status excludes.
auto endFields(Transfer &transfer) -> bool
{
    const auto isInterim = transfer.status < 200;
    transfer.part = isInterim ? ResponsePart::StatusLine : ResponsePart::Trailer;
    return !transfer.statesBody || !(isInterim || transfer.status == 204);
}

auto isStatusField(std::string_view name) -> bool
{
    return absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()), "Status") || name.empty();
}

auto onHeader(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(user);
    const auto line = std::string_view(data, size * count);
    if (transfer.part == ResponsePart::StatusLine) {
        return beginResponse(transfer, line) ? line.size() : stopAsInvalid(transfer);
    }
    if (transfer.part == ResponsePart::Fields && (line == "\r\n" || line == "\n")) {
        return endFields(transfer) ? line.size() : stopAsInvalid(transfer);
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    auto header = Header{.name = std::string(line.substr(0, colon)), .value = trimmed(line.substr(colon + 1))};
    if (transfer.part == ResponsePart::Trailer) {
        // Trailer fields are discarded; one with a status takes back the response's own.
        return isStatusField(header.name) ? stopAsInvalid(transfer) : line.size();
    }
    auto length = std::uint64_t{0};
    const auto isLength = absl::EqualsIgnoreCase(header.name, "Content-Length") && absl::SimpleAtoi(header.value, &length);
    transfer.statesBody = transfer.statesBody || length > 0 || absl::EqualsIgnoreCase(header.name, "Transfer-Encoding");
    if (isLength && length > transfer.request.maxResponseBytes && transfer.request.method != "HEAD") {
        transfer.stopReason = StopReason::TooLarge;
        return 0;
    }
    transfer.response.headers.push_back(std::move(header));
    return line.size();
}

auto append(HeaderList &list, const std::string &line) -> void
{
    auto *longer = curl_slist_append(list.get(), line.c_str());
    base::require(longer != nullptr, "out of memory");
    std::ignore = list.release();
    list.reset(longer);
}

auto makeHeaders(const Request &request) -> HeaderList
{
    auto list = HeaderList();
    for (const auto &header : request.headers) {
        // libcurl omits a field without a value unless its name ends with a semicolon.
        append(list, header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    if (hasBody(request)) {
        append(list, "Expect:");
        if (findHeader(request.headers, "Content-Type") == nullptr) {
            append(list, "Content-Type:");
        }
    }
    return list;
}

auto setMethod(CURL *easy, const Request &request) -> void
{
    curl_easy_setopt(easy, CURLOPT_NOBODY, 0L);
    if (hasBody(request)) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    } else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    const auto custom = request.method == "PUT" || request.method == "DELETE";
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, custom ? request.method.c_str() : nullptr);
}

} // namespace

auto authorityOf(std::string_view url) -> std::string
{
    const auto start = std::min(scheme.size(), url.size());
    return std::string(url.substr(start, url.find_first_of("/?#", start) - start));
}

auto isValid(const Request &request) -> bool
{
    const auto known = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    return known && hasIpHost(request.url) && std::all_of(request.headers.begin(), request.headers.end(), isPlainHeader);
}

auto makeEasy() -> EasyHandle
{
    auto easy = EasyHandle(curl_easy_init());
    base::require(easy != nullptr, "out of memory");
    auto *handle = easy.get();
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 1L);
    // The client enforces its own connect timeout, since libcurl 7.88 closes the descriptors of unestablished connections without calling the close callback.
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(absl::Hours(24))));
    // The client closes idle connections itself, so that it knows when the server has closed them as well.
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(absl::ToInt64Seconds(absl::Hours(24))));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    return easy;
}

auto prepare(Transfer &transfer, bool freshConnection) -> void
{
    auto *easy = transfer.easy.get();
    transfer.headers = makeHeaders(transfer.request);
    transfer.response = Response{};
    transfer.stopReason = StopReason::None;
    transfer.part = ResponsePart::StatusLine;
    transfer.status = 0;
    transfer.fd = -1;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_URL, transfer.request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    setMethod(easy, transfer.request);
}

auto transferOf(CURL *easy) -> Transfer *
{
    auto *data = static_cast<char *>(nullptr);
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &data);
    return static_cast<Transfer *>(static_cast<void *>(data));
}

auto setOutcome(Transfer &transfer, CURLcode result) -> void
{
    auto &response = transfer.response;
    if (result == CURLE_OK && transfer.part == ResponsePart::Trailer) {
        response.outcome = Outcome::Ok;
        response.status = transfer.status;
        return;
    }
    // What was read of a response that isn't whole and valid is no answer.
    response.headers.clear();
    response.body.clear();
    response.error = transfer.stopReason == StopReason::InvalidResponse || result == CURLE_OK ? "invalid response" : curl_easy_strerror(result);
    if (transfer.stopReason == StopReason::TooLarge) {
        response.outcome = Outcome::TooLarge;
    } else if (transfer.stopReason == StopReason::Expired) {
        response.outcome = Outcome::Timeout;
    } else if (!response.bytesMayHaveBeenSent && (result == CURLE_URL_MALFORMAT || result == CURLE_UNSUPPORTED_PROTOCOL)) {
        // libcurl names an unsupported protocol for some status lines too.
        response.outcome = Outcome::InvalidRequest;
    } else {
        response.outcome = response.bytesMayHaveBeenSent ? Outcome::Closed : Outcome::ConnectFailed;
    }
}

} // namespace tamarackspan::http::impl
