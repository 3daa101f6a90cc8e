#pragma once

#include "normalise.h"

#include "tamarackspan/testkit/fleet.h"

#include <string>
#include <vector>

namespace tamarackspan::golden {

/// One request of a caller, and how it goes into the transcript.
struct CallerRequest
{
    std::size_t host = 0;
    std::string path;
    std::vector<testkit::HttpHeader> headers;
    std::string body;
    std::string method = "POST";
};

/// Runs requests and commands one after the other and writes down what was sent and what came back.
class Session
{
public:
    /// Files of the session go into the folder. The replacements hold for everything written down.
    Session(std::string folder, std::vector<Replacement> replacements);

    /// Writes a heading.
    auto note(const std::string &text) -> void;

    /// Sends the request to this caller address and writes both down. Returns the reply; status 0 if none came.
    auto send(const std::string &address, const CallerRequest &request) -> testkit::HttpResult;

    /// Writes a request and its reply down.
    auto record(const CallerRequest &request, const testkit::HttpResult &reply) -> void;

    /// Runs tamarackspanctl and writes its output and exit code down.
    auto runCtl(const std::vector<std::string> &arguments) -> void;

    /// Adds a text that is replaced from now on.
    auto replace(const std::string &text, const std::string &name) -> void;

    /// Returns everything written down, normalised.
    [[nodiscard]] auto transcript() const -> std::string;

private:
    std::string folder;
    std::vector<Replacement> replacements;
    std::string text;
};

} // namespace tamarackspan::golden
