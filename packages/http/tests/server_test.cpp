#include "test_loop.h"

#include "tamarackspan/http/server.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::http;
using test::requestTo;
using test::TestLoop;

TEST(Server, AnswersWithWhatTheHandlerSays)
{
    auto server = Server({}, [](const std::shared_ptr<const ServerRequest> &request, Responder responder) {
        responder.answer(
            {.status = 201, .headers = {{"Seen", request->method + " " + request->path + " " + *findArgument(*request, "a")}}, .body = request->body});
    });
    ASSERT_EQ(server.error(), "");
    auto loop = TestLoop();
    const auto response = loop.exchange(requestTo(server.port(), "POST", "/x/y?a=b%20c", "hello"));
    EXPECT_EQ(response.outcome, Outcome::Ok);
    EXPECT_EQ(response.status, 201);
    EXPECT_EQ(response.body, "hello");
    EXPECT_EQ(*findHeader(response.headers, "seen"), "POST /x/y b c");
}

} // namespace
