#pragma once

#include "normalise.h"

#include "tamarackspan/testkit/fleet.h"

#include <string>
#include <vector>

namespace tamarackspan::golden {

/// One request of a caller, as it is sent and written to the transcript.
struct CallerRequest
{
    std::size_t host = 0;
    std::string path;
    std::vector<testkit::HttpHeader> headers;
    std::string body;
    std::string method = "POST";
};

/// Runs requests and commands one after the other and writes what was sent and received to a transcript.
class Session
{
public:
    /// Files of the session are created in the folder. The replacements apply to the whole transcript.
    Session(std::string folder, std::vector<Replacement> replacements);

    /// Adds a heading to the transcript.
    auto note(const std::string &text) -> void;

    /// Sends the request to this caller address and records both. Returns the reply; status 0 if there was none.
    auto send(const std::string &address, const CallerRequest &request) -> testkit::HttpResult;

    /// Adds a request and its reply to the transcript.
    auto record(const CallerRequest &request, const testkit::HttpResult &reply) -> void;

    /// Runs tamarackspanctl and adds its output and exit code to the transcript.
    auto runCtl(const std::vector<std::string> &arguments) -> void;

    /// Adds a replacement; it applies to the whole transcript.
    auto replace(const std::string &text, const std::string &name) -> void;

    /// Returns the normalised transcript.
    [[nodiscard]] auto transcript() const -> std::string;

private:
    std::string folder;
    std::vector<Replacement> replacements;
    std::string text;
};

} // namespace tamarackspan::golden
