#include "session.h"

#include "tamarackspan/testkit/child_process.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"

#include <filesystem>
#include <utility>

namespace tamarackspan::golden {

namespace {

constexpr auto commandTimeout = absl::Seconds(30);
/// Of a longer body only the length is written to the transcript.
constexpr auto maxShownBody = std::size_t{1000};

auto shownBody(const std::string &body) -> std::string
{
    return body.size() > maxShownBody ? absl::StrCat("<", body.size(), " bytes>") : body;
}

auto withFinalNewline(std::string text) -> std::string
{
    if (!text.empty() && text.back() != '\n') {
        text += '\n';
    }
    return text;
}

} // namespace

Session::Session(std::string folder, std::vector<Replacement> replacements)
    : folder(std::move(folder)),
      replacements(std::move(replacements))
{
}

auto Session::note(const std::string &note) -> void
{
    absl::StrAppend(&this->text, "# ", note, "\n");
}

auto Session::send(const std::string &address, const CallerRequest &request) -> testkit::HttpResult
{
    const auto reply = testkit::httpSend(request.method, absl::StrCat("http://", address, request.path), request.headers, request.body);
    auto result = reply.ok() ? *reply : testkit::HttpResult{0, {}, std::string(reply.status().message())};
    this->record(request, result);
    return result;
}

auto Session::record(const CallerRequest &request, const testkit::HttpResult &reply) -> void
{
    absl::StrAppend(&this->text, "> ", request.method, " host-", request.host, " ", request.path, "\n");
    for (const auto &header : request.headers) {
        absl::StrAppend(&this->text, "> ", header.name, ": ", header.value, "\n");
    }
    if (!request.body.empty()) {
        absl::StrAppend(&this->text, "> ", shownBody(request.body), "\n");
    }
    absl::StrAppend(&this->text, "< ", reply.status, "\n");
    for (const auto *name : {"content-type", "tamarackspan-run", "retry-after"}) {
        if (const auto header = reply.headers.find(name); header != reply.headers.end()) {
            absl::StrAppend(&this->text, "< ", header->first == "retry-after" ? "Retry-After" : header->first, ": ", header->second, "\n");
        }
    }
    absl::StrAppend(&this->text, "< ", withFinalNewline(shownBody(reply.body)), "\n");
}

auto Session::runCtl(const std::vector<std::string> &arguments) -> void
{
    const auto output = this->folder + "/ctl.out";
    // ChildProcess appends.
    std::filesystem::remove(output);
    auto process = testkit::ChildProcess(TAMARACKSPANCTL_PROGRAM, arguments, output);
    const auto ended = process.wait(commandTimeout);
    const auto code = ended && ended->status ? absl::StrCat(*ended->status) : "<none>";
    absl::StrAppend(&this->text, "$ tamarackspanctl ", absl::StrJoin(arguments, " "), "\n", withFinalNewline(process.output()), "exit ", code, "\n\n");
}

auto Session::replace(const std::string &from, const std::string &name) -> void
{
    this->replacements.push_back({from, name});
}

auto Session::transcript() const -> std::string
{
    return normalise(this->text, this->replacements);
}

} // namespace tamarackspan::golden
