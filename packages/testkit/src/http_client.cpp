#include "tamarackspan/testkit/http_client.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <curl/curl.h>

#include <memory>

namespace tamarackspan::testkit {

namespace {

auto appendBody(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    static_cast<HttpResult *>(target)->body.append(data, size * count);
    return size * count;
}

auto readHeader(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    const auto line = absl::string_view(data, size * count);
    const auto colon = line.find(':');
    if (colon != absl::string_view::npos) {
        const auto value = absl::StripAsciiWhitespace(line.substr(colon + 1));
        static_cast<HttpResult *>(target)->headers[absl::AsciiStrToLower(line.substr(0, colon))] = std::string(value);
    }
    return size * count;
}

} // namespace

auto httpSend(const std::string &method, const std::string &url, const std::vector<HttpHeader> &headers, const std::string &body, absl::Duration timeout)
    -> absl::StatusOr<HttpResult>
{
    const auto easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>(curl_easy_init(), &curl_easy_cleanup);
    auto *lines = curl_slist_append(nullptr, "Expect:");
    for (const auto &header : headers) {
        lines = curl_slist_append(lines, absl::StrCat(header.name, ": ", header.value).c_str());
    }
    auto result = HttpResult();
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(timeout)));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &result);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &readHeader);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &result);
    if (method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_COPYPOSTFIELDS, body.data());
    }
    const auto code = curl_easy_perform(easy.get());
    curl_slist_free_all(lines);
    if (code != CURLE_OK) {
        return absl::UnavailableError(absl::StrCat(method, " ", url, ": ", curl_easy_strerror(code)));
    }
    auto status = 0L;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<std::uint32_t>(status);
    return result;
}

auto httpGet(const std::string &url) -> absl::StatusOr<HttpResult>
{
    return httpSend("GET", url);
}

auto httpPost(const std::string &url, const std::string &body) -> absl::StatusOr<HttpResult>
{
    return httpSend("POST", url, {}, body);
}

} // namespace tamarackspan::testkit
