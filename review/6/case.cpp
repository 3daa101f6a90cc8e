// A leaf that answers a long request without a length crashes in the middle of its answer: is the part that arrived passed on as the whole answer?
#include "../kit-2.h"

using namespace kit;

namespace {

/// About half of max_body_bytes of the configuration.
constexpr auto requestBytes = std::size_t{128'000};
constexpr auto answerBytes = std::size_t{3000};
constexpr auto clients = 12;
/// A segment and a window as on a network of 1,500-byte packets with small windows.
constexpr auto smallLink = LinkLike{.segment = 1448, .window = 4 * 1024};

std::string wholeAnswer(const std::string &id)
{
    auto text = std::string();
    while (text.size() < answerBytes) {
        text += "ledger of " + id + " line " + std::to_string(text.size()) + "\n";
    }
    return text;
}

} // namespace

int main(int, char **arguments)
{
    auto record = Record(std::string(arguments[1]) + "/record.txt");
    const auto folder = TemporaryFolder();
    const auto trouble = withTrouble();
    // TROUBLE=slow: instead of the crash, the leaf reads no more of the bodies for four seconds and then goes on.
    const auto *const variant = std::getenv("TROUBLE");
    const auto slow = variant != nullptr && std::string(variant) == "slow";
    auto store = Store();
    store.put(
        "op/config",
        R"({"version":3,"routes":[{"name":"pull","host":"h.example","prefix":"/pull/","route_type":"idempotent","timeout_ms":8000,"target_latency_ms":800,)"
        R"("priority":2,"attempts":2,"service":"ledger"}],"services":[{"name":"ledger","max_conns":110,"health_path":"/health"}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    auto crash = std::atomic<bool>(false);
    auto answering = std::atomic<int>(0);
    auto leaf = Leaf(
        store, "i-1", "ledger", "zone-a",
        [&](Reader &reader, Message &request, const std::atomic<bool> &stop) {
            // The answer begins before the whole body has been read, has no length and ends with the connection.
            const auto id = request.field("request-id");
            const auto whole = wholeAnswer(id);
            const auto size = static_cast<std::size_t>(std::atoll(request.field("content-length").c_str()));
            record.line("leaf runs %s and begins to answer", id.c_str());
            writeAll(reader.fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp." + id + "\r\n\r\n" + whole.substr(0, answerBytes / 2));
            ++answering;
            for (auto at = 0; at < (slow ? 400 : 100) && !crash && !stop; ++at) {
                sleepMs(10);
            }
            if (crash) {
                // The process has ended: the system closes its connections, and resets those with bytes that it hasn't read.
                record.line("leaf has crashed while it answers %s: %zu of %zu bytes were sent", id.c_str(), answerBytes / 2, whole.size());
                return false;
            }
            auto body = Message();
            const auto read = reader.body(body, size, now() + 10.0, &stop);
            writeAll(reader.fd, std::string_view(whole).substr(answerBytes / 2));
            record.line("leaf has read all of %s (%d) and sent all %zu bytes", id.c_str(), read, whole.size());
            return false;
        },
        smallLink);
    const auto ip = std::string("127.0.6.1");
    const auto ports = freePorts({ip}, portsOfHost);
    auto host = Host({.name = "front-1", .ip = ip, .zone = "zone-a", .firstPort = ports, .store = "127.0.0.1:" + std::to_string(store.port())}, folder.path);
    if (!host.waitReady(15.0)) {
        record.line("the host isn't ready");
        return couldNotRun;
    }
    sleepMs(4500);
    auto wrong = std::atomic<int>(0);
    auto served = std::atomic<int>(0);
    auto threads = std::vector<std::thread>();
    for (auto at = 1; at <= clients; ++at) {
        threads.emplace_back([&, at] {
            const auto id = "q" + std::to_string(at);
            record.line("client sends %s", id.c_str());
            const auto answer = host.ask("POST", "/pull/x", id, 8000, std::string(requestBytes, 'b'), 12.0);
            const auto whole = wholeAnswer(id);
            const auto isWhole = answer.message.body == whole;
            record.line("client got %d for %s, stamp \"%s\", %zu bytes, after %.3f s%s", answer.status, id.c_str(),
                        answer.message.field("server-stamp").c_str(), answer.message.body.size(), answer.took,
                        answer.status == 200 && !isWhole ? " -- A SUCCESS WITHOUT THE LEAF'S WHOLE BODY" : "");
            served += answer.status == 200 && isWhole ? 1 : 0;
            wrong += answer.status == 200 && !isWhole ? 1 : 0;
        });
    }
    const auto until = now() + 5.0;
    while (answering < clients && now() < until) {
        sleepMs(5);
    }
    if (trouble && !slow) {
        sleepMs(200);
        crash = true;
        record.line("the leaf crashes; %d answers were on their way", answering.load());
    }
    for (auto &thread : threads) {
        thread.join();
    }
    record.line("%d successes without the whole body, %d whole ones, of %d", wrong.load(), served.load(), clients);
    if (!trouble && served < clients) {
        return couldNotRun;
    }
    return wrong > 0 ? ruleBroken : ruleHeld;
}
