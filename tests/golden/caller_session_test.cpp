#include "golden_file.h"
#include "golden_fleet.h"

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

#include <algorithm>
#include <string>

namespace tamarackspan::golden {

namespace {

/// More requests than the limits of the contract "scarce" admit at once over both hosts.
constexpr auto scarceTries = 20;
constexpr auto tooLongBody = std::size_t{1024} * 1024 + 1;
constexpr auto tooManyRequests = 429U;

auto pathOf(const std::string &customer, const std::string &operation, const std::string &action) -> std::string
{
    return absl::StrCat("/v1/customers/", customer, "/operations/", operation, "/", action);
}

class CallerSessions : public GoldenFleet
{
protected:
    static auto send(Session &session, const CallerRequest &request) -> testkit::HttpResult
    {
        return session.send(addresses(request.host).caller, request);
    }

    static auto controlLeaf(const std::string &leaf, const nlohmann::json &change) -> void
    {
        const auto status = fleet().controlLeaf(leaf, change);
        ASSERT_TRUE(status.ok()) << status;
    }

    /// Requests a ticket for a booking through a host and gives it a name in the transcript.
    static auto takeTicket(Session &session, std::size_t host, const std::string &name) -> std::string
    {
        const auto path = pathOf("desk", "book", "tickets");
        const auto reply = testkit::httpPost(absl::StrCat("http://", addresses(host).caller, path), "");
        if (!reply.ok()) {
            ADD_FAILURE() << reply.status();
            return {};
        }
        auto ticket = nlohmann::json::parse(reply->body, nullptr, false).value("ticket", "");
        session.replace(ticket, name);
        session.record({host, path, {}, "", "POST"}, *reply);
        return ticket;
    }

    static auto executions(const std::string &marker) -> std::size_t
    {
        const auto history = fleet().leafHistory();
        return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&marker](const nlohmann::json &record) {
            return record.value("marker", "") == marker && record.value("kind", "") == "execute" && record.value("ran", false);
        }));
    }
};

TEST_F(CallerSessions, Answers)
{
    auto session = newSession();
    session.note("a query through each host");
    send(session, {0, pathOf("desk", "find", "query"), {}, R"({"marker":"m1","lot":"B-17"})"});
    send(session, {1, pathOf("desk", "find", "query"), {{"Tamarackspan-Deadline-Ms", "1500"}}, R"({"marker":"m2","lot":"B-17"})"});
    expectGolden("caller-answers", session.transcript());
}

TEST_F(CallerSessions, Refusals)
{
    auto session = newSession();
    session.note("unknown-customer, then the same with a ticket: an earlier submission may have run it");
    send(session, {0, pathOf("nobody", "find", "query"), {}, "{}"});
    send(session, {0, pathOf("nobody", "book", "execute"), {{"Tamarackspan-Ticket", "t"}}, "{}"});
    session.note("unknown-operation");
    send(session, {0, pathOf("desk", "nothing", "query"), {}, "{}"});
    session.note("wrong-kind, both ways");
    send(session, {0, pathOf("desk", "book", "query"), {}, "{}"});
    send(session, {0, pathOf("desk", "find", "execute"), {}, "{}"});
    session.note("bad-deadline");
    send(session, {0, pathOf("desk", "find", "query"), {{"Tamarackspan-Deadline-Ms", "soon"}}, "{}"});
    send(session, {0, pathOf("desk", "find", "query"), {{"Tamarackspan-Deadline-Ms", "0"}}, "{}"});
    session.note("bad-ticket: none, and no ticket at all");
    send(session, {0, pathOf("desk", "book", "execute"), {}, "{}"});
    send(session, {0, pathOf("desk", "book", "execute"), {{"Tamarackspan-Ticket", "nonsense"}}, "{}"});
    session.note("not-found and method-not-allowed");
    send(session, {0, "/v1/customers/desk", {}, "{}"});
    send(session, {0, pathOf("desk", "find", "query"), {}, "", "GET"});
    session.note("service-unknown");
    send(session, {0, pathOf("desk", "lost", "query"), {}, "{}"});
    session.note("a body above 1 MiB");
    send(session, {0, pathOf("desk", "find", "query"), {}, std::string(tooLongBody, 'x')});
    expectGolden("caller-refusals", session.transcript());
}

TEST_F(CallerSessions, RateLimit)
{
    auto session = newSession();
    session.note("rate-limit: the first refusal of a row of requests");
    const auto request = CallerRequest{0, pathOf("scarce", "find", "query"), {}, "{}"};
    const auto url = absl::StrCat("http://", addresses(0).caller, request.path);
    auto reply = testkit::HttpResult();
    for (auto i = 0; i < scarceTries && reply.status != tooManyRequests; ++i) {
        const auto got = testkit::httpPost(url, request.body);
        ASSERT_TRUE(got.ok()) << got.status();
        reply = *got;
    }
    session.record(request, reply);
    expectGolden("caller-rate-limit", session.transcript());
}

TEST_F(CallerSessions, Booking)
{
    auto session = newSession();
    session.note("a booking, and the same ticket again through the other host");
    const auto ticket = takeTicket(session, 0, "<ticket-1>");
    const auto headers = std::vector<testkit::HttpHeader>{{"Tamarackspan-Ticket", ticket}, {"Tamarackspan-Routing-Key", "family-7"}};
    send(session, {0, pathOf("desk", "book", "execute"), headers, R"({"marker":"b1","tray":"T-4"})"});
    send(session, {1, pathOf("desk", "book", "execute"), headers, R"({"marker":"b1","tray":"T-4"})"});
    session.note("ticket-conflict: the same ticket with another body");
    send(session, {1, pathOf("desk", "book", "execute"), headers, R"({"marker":"b2","tray":"T-5"})"});
    session.note("a ticket of the other host, submitted here alone");
    const auto second = takeTicket(session, 1, "<ticket-2>");
    send(session, {0, pathOf("desk", "book", "execute"), {{"Tamarackspan-Ticket", second}}, R"({"marker":"b3","tray":"T-6"})"});
    session.note(absl::StrCat("the leafs ran b1 ", executions("b1"), " time, b2 ", executions("b2"), " times, b3 ", executions("b3"), " time"));
    expectGolden("caller-booking", session.transcript());
}

TEST_F(CallerSessions, LeafFaults)
{
    auto session = newSession();
    const auto bookOnce = [&session](const std::string &name, const std::string &marker) {
        const auto ticket = takeTicket(session, 0, name);
        const auto headers = std::vector<testkit::HttpHeader>{{"Tamarackspan-Ticket", ticket}, {"Tamarackspan-Routing-Key", "family-7"}};
        send(session, {0, pathOf("desk", "book", "execute"), headers, absl::StrCat(R"({"marker":")", marker, R"("})")});
        send(session, {1, pathOf("desk", "book", "execute"), headers, absl::StrCat(R"({"marker":")", marker, R"("})")});
    };
    session.note("leaf-rejected, and the same ticket again");
    controlLeaf("leaf-0", {{"reject_share", 1}});
    controlLeaf("leaf-1", {{"reject_share", 1}});
    bookOnce("<ticket-3>", "f1");
    session.note("leaf-unavailable: the leaf fails without running it");
    controlLeaf("leaf-0", {{"reject_share", 0}, {"shed_share", 1}});
    controlLeaf("leaf-1", {{"reject_share", 0}, {"shed_share", 1}});
    bookOnce("<ticket-4>", "f2");
    session.note("outcome-unknown: the leaf runs it and closes the connection");
    controlLeaf("leaf-0", {{"shed_share", 0}, {"lost_share", 1}});
    controlLeaf("leaf-1", {{"shed_share", 0}, {"lost_share", 1}});
    bookOnce("<ticket-5>", "f3");
    session.note(absl::StrCat("the leafs ran f1 ", executions("f1"), " times, f2 ", executions("f2"), " times, f3 ", executions("f3"), " time"));
    session.note("no-shard-answered: both leafs fail");
    controlLeaf("leaf-0", {{"lost_share", 0}, {"fail_share", 1}});
    controlLeaf("leaf-1", {{"lost_share", 0}, {"fail_share", 1}});
    send(session, {0, pathOf("desk", "browse", "query"), {}, R"({"marker":"m5"})"});
    expectGolden("caller-leaf-faults", session.transcript());
}

/// A separate suite: its fleet's hosts have not seen any leaf fault yet.
class CoverageSessions : public CallerSessions
{
};

TEST_F(CoverageSessions, IncompleteAnswers)
{
    auto session = newSession();
    session.note("coverage-below-floor, and the same labelled where the contract says so: one leaf never answers");
    controlLeaf("leaf-1", {{"silent_share", 1}});
    const auto shortDeadline = std::vector<testkit::HttpHeader>{{"Tamarackspan-Deadline-Ms", "400"}};
    send(session, {0, pathOf("desk", "find", "query"), shortDeadline, R"({"marker":"m3"})"});
    send(session, {0, pathOf("desk", "browse", "query"), {}, R"({"marker":"m4"})"});
    expectGolden("caller-coverage", session.transcript());
}

} // namespace

} // namespace tamarackspan::golden
