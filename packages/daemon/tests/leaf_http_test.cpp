#include "raw_server.h"
#include "test_loop.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/leaf_http.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::daemon;

auto workOf() -> LeafWork
{
    auto work = LeafWork();
    work.requestName = "r1";
    work.service = base::ServiceName("trays");
    work.leaf = base::LeafId("l1");
    work.shard = base::ShardId(3);
    work.customer = base::CustomerName("desk");
    work.operation = base::OperationName("strict");
    work.deadline = base::monotonicNow() + absl::Seconds(2);
    work.body = std::make_shared<const std::string>("q");
    return work;
}

/// Returns how a leaf's answer is read; FIELDS stands for the fields of the protocol with this outcome.
auto readAnswer(const std::string &shape, const std::string &outcome) -> LeafResponse
{
    const auto fields = absl::StrCat("Tamarackspan-Request: r1\r\nTamarackspan-Shard: 3\r\nTamarackspan-Outcome: ", outcome, "\r\n");
    auto server = http::test::RawServer([reply = absl::StrReplaceAll(shape, {{"FIELDS", fields}})](const http::test::SeenRequest &) {
        return http::test::Action{.reply = reply, .close = true};
    });
    auto loop = http::test::TestLoop();
    auto leaf = contracts::Leaf();
    leaf.address = "127.0.0.1";
    leaf.port = server.port();
    const auto work = workOf();
    return readLeafResponse(work, loop.exchange(leafRequest(leaf, 1, work, base::monotonicNow(), absl::Seconds(1))));
}

// Guards against an invalid answer that counts as success or as "not run" because its fields are those of the protocol.
TEST(LeafHttp, AnInvalidStatusLineIsALostConnection)
{
    const auto rest = std::string("\r\nFIELDSContent-Length: 2\r\n\r\nok");
    const auto chunks = std::string("\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
    auto shapes = std::vector<std::string>();
    for (const auto *const line :
         {"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/0.9 200 OK",
          "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 100 Continue", "HTTP/1.1 204 No Content"}) {
        shapes.push_back(line + rest);
    }
    shapes.push_back("HTTP/1.1 101 Switching Protocols\r\nFIELDS\r\n");
    shapes.push_back("HTTP/1.1 103 Early Hints\r\nFIELDS\r\n");
    shapes.push_back("HTTP/1.1 204 No Content\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    shapes.push_back("HTTP/1.1 200 OK" + chunks + "Status: 500\r\n\r\n");
    shapes.push_back("HTTP/1.1 200 OK" + chunks + "HTTP/1.1 500 Failed\r\n\r\n");
    for (const auto *const outcome : {"complete", "executed", "rejected", "draining"}) {
        for (const auto &shape : shapes) {
            const auto read = readAnswer(shape, outcome);
            EXPECT_EQ(read.reply.run, RunState::MayHaveRun) << shape << outcome;
            EXPECT_EQ(read.reply.outcome, query::LeafOutcome::Failed) << shape << outcome;
            EXPECT_EQ(read.end, routing::RunEnd::ConnectionLost) << shape << outcome;
            EXPECT_EQ(read.reply.body, "") << shape << outcome;
        }
        EXPECT_EQ(readAnswer("HTTP/1.1 200 OK" + rest, outcome).reply.body, "ok") << outcome;
    }
}

// Guards against an outcome that a leaf states after the body and that replaces, or stands in for, the one before it.
TEST(LeafHttp, FieldsOfATrailerAreNoPartOfTheAnswer)
{
    const auto read = readAnswer("HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTamarackspan-Draining: true\r\n\r\n", "complete");
    EXPECT_EQ(read.reply.outcome, query::LeafOutcome::Complete);
    EXPECT_FALSE(read.reply.leafDraining);
}

} // namespace
