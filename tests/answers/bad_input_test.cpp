#include "deployment.h"

#include "tamarackspan/testkit/http_server.h"
#include "tamarackspan/testkit/loop_thread.h"
#include "tamarackspan/wire/frame.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <random>

namespace tamarackspan::answers {
namespace {

auto portOf(const std::string &address) -> std::uint16_t
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

/// Sends the bytes on a new connection. Returns what was received until the other end closed the connection or 300 ms passed without data.
auto sendRaw(std::uint16_t port, const std::string &bytes) -> std::string
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const auto receiveTimeout = timeval{.tv_sec = 0, .tv_usec = 300'000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    auto sent = std::size_t{0};
    while (sent < bytes.size()) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    auto reply = std::string();
    auto part = std::array<char, 4096>();
    for (auto count = recv(fd, part.data(), part.size(), 0); count > 0; count = recv(fd, part.data(), part.size(), 0)) {
        reply.append(part.data(), static_cast<std::size_t>(count));
    }
    close(fd);
    return reply;
}

auto expectRefusal(const std::string &url, const std::vector<testkit::HttpHeader> &headers, std::uint32_t status, const std::string &reason)
{
    const auto result = testkit::httpSend("POST", url, headers, "{}");
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_EQ(result->status, status) << result->body;
    EXPECT_NE(result->body.find(reason), std::string::npos) << result->body;
    EXPECT_EQ(result->headers.contains("tamarackspan-run") ? result->headers.at("tamarackspan-run") : "", "not-run") << result->body;
}

auto expectAllAnswered(const Deployment &deployment, const std::string &caller)
{
    EXPECT_FALSE(deployment.answersOf(caller).empty());
    EXPECT_EQ(deployment.answersOf(caller).size(), deployment.callsOf(caller).size());
}

TEST(BadInputTest, RequestsThatAreWrongGetTypedRefusalsWhileOthersAreAnswered)
{
    auto deployment = Deployment(2);
    deployment.start();
    const auto options = deployment.load("strict", {0, 1}, 4111);
    deployment.drive(options, [&] {
        const auto base = absl::StrCat("http://", deployment.fleet.addresses(0).caller, "/v1/customers/");
        expectRefusal(base + "nobody/operations/strict/query", {}, 404, "unknown-customer");
        expectRefusal(base + "desk/operations/none/query", {}, 404, "unknown-operation");
        expectRefusal(base + "desk/operations/strict", {}, 404, "not-found");
        expectRefusal(base + "desk/operations/book/query", {}, 400, "wrong-kind");
        for (const auto *deadline : {"soon", "-5", "0", "1e3", "99999999999999999999", "1 0", "10ms"}) {
            expectRefusal(base + "desk/operations/strict/query", {{.name = "Tamarackspan-Deadline-Ms", .value = deadline}}, 400, "bad-deadline");
        }
        const auto port = portOf(deployment.fleet.addresses(0).caller);
        const auto path = std::string("POST /v1/customers/desk/operations/strict/query HTTP/1.1\r\nHost: h\r\n");
        for (const auto &bytes :
             {std::string("\r\n\r\n\r\n"), std::string("GARBAGE\r\n\r\n"), std::string("POST / HTTP/9.9\r\n\r\n"), std::string(100'000, 'A'),
              path + "Content-Length: banana\r\n\r\n", path + "Content-Length: -1\r\n\r\n", path + "Content-Length: 10\r\n\r\nshort",
              path + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", path + std::string(200'000, 'h') + ": x\r\n\r\n", path + "Content-Length: 99999999999\r\n\r\n",
              std::string(64, '\0'), path + "Tamarackspan-Deadline-Ms: \xff\xfe\r\n\r\n"}) {
            const auto reply = sendRaw(port, bytes);
            EXPECT_EQ(reply.find("200 OK"), std::string::npos) << bytes.substr(0, 200) << " got " << reply;
        }
        auto body = std::string();
        body.resize(20'000'000, 'x');
        const auto large = testkit::httpSend("POST", deployment.queryUrl(0, "strict"), {}, body);
        EXPECT_TRUE(!large.ok() || large->status == 413) << large->status;
    });
    deployment.check({"one-snapshot", "true-coverage", "own-answer"});
    expectAllAnswered(deployment, options.caller);
}

TEST(BadInputTest, GarbageOnTheInnerPortDisturbsNoQuery)
{
    auto deployment = Deployment(2);
    deployment.start();
    const auto options = deployment.load("strict", {0, 1}, 4112);
    deployment.drive(options, [&] {
        auto draws = std::mt19937_64(4112);
        auto garbage = std::string(5000, '\0');
        std::generate(garbage.begin(), garbage.end(), [&draws] {
            return static_cast<char>(draws());
        });
        auto wrongVersion = wire::frameHeader(100) + std::string(100, 'x');
        wrongVersion[6] = static_cast<char>(wire::protocolVersion + 1);
        auto tooLarge = wire::frameHeader(100);
        tooLarge[3] = '\x7f';
        const auto noise = garbage.substr(0, 400);
        for (const auto host : {0U, 1U}) {
            const auto port = portOf(deployment.fleet.addresses(host).inner);
            for (const auto &bytes :
                 {std::string(), garbage, wrongVersion, tooLarge, wire::frameHeader(1000) + "cut", wire::frameHeader(100).substr(0, 5),
                  wire::frameHeader(400) + noise, wire::frameHeader(100) + std::string(100, '\0'), std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}) {
                sendRaw(port, bytes);
            }
        }
    });
    deployment.check({"one-snapshot", "true-coverage", "own-answer"});
    expectAllAnswered(deployment, options.caller);
}

/// A leaf whose replies are correct but for one selectable fault.
class FaultyLeaf
{
public:
    enum class Fault : std::uint8_t {
        MalformedJson,
        NotAnArray,
        RowWithoutScore,
        NoHeaders,
        OtherRequest,
        OtherShard,
        UnknownOutcome,
        OtherVersion,
        OtherMap,
        HugeBody,
        DeepBody,
        ZeroBytes,
        Last,
    };

    FaultyLeaf()
        : server(this->thread.loop(), {}, [this](const std::shared_ptr<testkit::Exchange> &exchange) {
              ++this->requests;
              exchange->reply(this->replyTo(exchange->request()));
          })
    {
    }

    testkit::LoopThread thread;
    std::atomic<Fault> fault = Fault::MalformedJson;
    std::atomic<std::uint64_t> requests = 0;
    testkit::HttpServer server;

private:
    [[nodiscard]] auto replyTo(const testkit::HttpRequest &request) const -> testkit::HttpReply
    {
        const auto current = this->fault.load();
        auto reply = testkit::HttpReply{.status = 200, .headers = {}, .body = R"([{"key":"wrong","score":1e9}])"};
        const auto add = [&reply](const char *name, const std::string &value) {
            reply.headers.push_back({.name = absl::StrCat("Tamarackspan-", name), .value = value});
        };
        if (current != Fault::NoHeaders) {
            const auto shard = request.path.substr(11, request.path.rfind('/') - 11);
            const auto text = [current](Fault fault, const std::string &wrong, const std::string &right) {
                return current == fault ? wrong : right;
            };
            add("Request", text(Fault::OtherRequest, "0-1.1", request.header("tamarackspan-request")));
            add("Shard", text(Fault::OtherShard, "77", shard));
            add("Outcome", text(Fault::UnknownOutcome, "splendid", "complete"));
            add("Cost-Micros", "-18446744073709551616");
            add("Index-Version", text(Fault::OtherVersion, "41", request.header("tamarackspan-index-version")));
            add("Map-Generation", text(Fault::OtherMap, "1", request.header("tamarackspan-map-generation")));
            add("Index-Versions", "42,,banana,-3,41");
        }
        reply.body = bodyOf(current, std::move(reply.body));
        return reply;
    }

    static auto bodyOf(Fault fault, std::string body) -> std::string
    {
        constexpr auto hugeBytes = std::size_t{40} << 20U;
        constexpr auto depth = std::size_t{200'000};
        switch (fault) {
        case Fault::MalformedJson:
            return R"([{"key":"wrong","score":1e9})";
        case Fault::NotAnArray:
            return R"({"key":"wrong","score":1e9})";
        case Fault::RowWithoutScore:
            return R"([{"key":"wrong"}])";
        case Fault::HugeBody:
            return R"([{"key":"wrong","score":1e9,"x":")" + std::string(hugeBytes, 'x') + "\"}]";
        case Fault::DeepBody:
            return R"([{"key":"wrong","score":1e9,"x":)" + std::string(depth, '[') + std::string(depth, ']') + "}]";
        case Fault::ZeroBytes:
            return std::string(1000, '\0');
        default:
            return body;
        }
    }
};

TEST(BadInputTest, WrongRepliesOfALeafReachNoAnswer)
{
    auto faulty = FaultyLeaf();
    auto deployment = Deployment(2);
    auto service = PublishedService();
    service.otherPorts = {{1, faulty.server.port()}};
    deployment.publishService(service);
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4113);
    options.inFlight = 4;
    options.deadline = absl::Milliseconds(500);
    options.duration = absl::Seconds(7);
    deployment.drive(options, [&] {
        for (auto fault = std::uint8_t{0}; fault < static_cast<std::uint8_t>(FaultyLeaf::Fault::Last); ++fault) {
            const auto before = faulty.requests.load();
            faulty.fault = static_cast<FaultyLeaf::Fault>(fault);
            absl::SleepFor(absl::Milliseconds(500));
            std::printf("fault %d: %llu requests\n", fault, static_cast<unsigned long long>(faulty.requests - before));
        }
    });
    for (const auto host : {0U, 1U}) {
        EXPECT_FALSE(deployment.fleet.process(host).wait(absl::ZeroDuration()).has_value()) << deployment.fleet.process(host).output();
    }
    deployment.check({"one-snapshot", "true-coverage", "own-answer", "no-duplicates"});
    for (const auto &answer : deployment.answersOf(options.caller)) {
        for (const auto &row : answer["rows"]) {
            ASSERT_NE(row["key"], "wrong") << answer;
        }
    }
    const auto good = deployment.load("labelled", {0, 1}, 4114);
    deployment.publishService({});
    absl::SleepFor(absl::Seconds(1));
    deployment.drive(good);
    expectAllAnswered(deployment, good.caller);
}

} // namespace
} // namespace tamarackspan::answers
