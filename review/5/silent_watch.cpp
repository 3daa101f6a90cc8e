// The connections to the store go silent for good, and new ones work. Long after that the operator moves a route to another service.

#include "../kit.h"

using namespace kit;

namespace {

/// The age of what the store answers to reads with stale_ok=1, with the disruption and without it.
constexpr auto staleSeconds = 3.0;
constexpr auto applySeconds = 3.0;
constexpr auto contactSeconds = 4.0;
/// From the silence to the change: more than twice contact_ms.
constexpr auto calmSeconds = 9.0;
constexpr auto clients = 4;
constexpr auto workSeconds = 0.05;
constexpr auto rounds = 3;

struct Sent
{
    std::string id;
    double at;
};

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto run = Run::begin(argc, argv);
    auto store = Store();
    store.staleness = staleSeconds;
    auto mutex = std::mutex();
    auto ranAt = std::map<std::string, std::string>();
    auto sentAt = std::map<std::string, double>();
    const auto handler = [&](Leaf &leaf, Connection &connection) {
        auto request = Message();
        while (connection.read(request, 3600.0)) {
            const auto id = request.get("Request-Id");
            if (request.get("Target-Instance") != leaf.id) {
                connection.write(answerBytes(421, id, {}, {}, "Instance-Id: " + leaf.id + "\r\n"));
                continue;
            }
            {
                const auto lock = std::lock_guard(mutex);
                ranAt[id] = leaf.service;
            }
            sleepFor(workSeconds);
            if (!connection.write(answerBytes(200, id, leaf.id + "/" + id, leaf.service))) {
                return;
            }
        }
    };
    const auto services = std::vector<std::string>{"ledger-0", "ledger-1"};
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    for (auto number = 0; number < 4; ++number) {
        leafs.push_back(
            std::make_unique<Leaf>(store, "i-" + std::to_string(number), services[static_cast<std::size_t>(number % 2)], "pnw-seattle", 3, handler));
    }
    const auto publish = [&](int round) {
        store.write("op/config",
                    configuration(
                        3 + 4 * round,
                        {{.prefix = "/book/", .idempotent = false, .service = services[static_cast<std::size_t>(round % 2)], .timeoutMs = 15000, .aimMs = 800}},
                        110));
        return now();
    };
    publish(0);
    sleepFor(staleSeconds + 1.5);
    const auto ports = freePorts(1);
    auto host = Host(run.root, run.temporary, 1, ports, {.store = store.address()});
    if (!host.waitReady(15.0)) {
        Record::line("the host isn't ready");
        return couldNotRun;
    }
    auto stopping = std::atomic<bool>(false);
    auto served = std::atomic<int>(0);
    auto threads = std::vector<std::thread>();
    for (auto client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            auto connection = std::unique_ptr<Connection>();
            for (auto number = 0; !stopping; ++number) {
                const auto id = "c" + std::to_string(client) + "-" + std::to_string(number);
                if (connection == nullptr) {
                    connection = connectTo(host.ip, ports.front());
                }
                {
                    const auto lock = std::lock_guard(mutex);
                    sentAt[id] = now();
                }
                auto answer = Message();
                if (connection == nullptr || !connection->write(requestBytes("POST", "/book/seat", id, 15000, "one seat")) || !connection->read(answer, 16.0)) {
                    connection = nullptr;
                }
                served += answer.status == 200 ? 1 : 0;
                if (lower(answer.get("Connection")) == "close") {
                    connection = nullptr;
                }
                sleepFor(0.02);
            }
        });
    }
    sleepFor(2.0);
    auto broken = 0;
    for (auto round = 1; round <= rounds; ++round) {
        if (run.trouble) {
            store.silenceOpenConnections();
            Record::line("the open connections to the store go silent; new ones work");
        }
        sleepFor(calmSeconds);
        const auto acknowledged = publish(round);
        const auto &service = services[static_cast<std::size_t>(round % 2)];
        Record::line("the store has accepted version %d, which moves the route to %s", 3 + 4 * round, service.c_str());
        sleepFor(applySeconds + staleSeconds + 1.0);
        const auto lock = std::lock_guard(mutex);
        auto late = std::vector<Sent>();
        for (const auto &[id, at] : sentAt) {
            const auto place = ranAt.find(id);
            if (at > acknowledged + applySeconds && place != ranAt.end() && place->second != service) {
                late.push_back({.id = id, .at = at});
            }
        }
        std::ranges::sort(late, {}, &Sent::at);
        for (const auto &sent : late) {
            Record::line("CONFIG: %s was sent %.3f s after the acknowledgement and run by %s", sent.id.c_str(), sent.at - acknowledged, ranAt[sent.id].c_str());
        }
        Record::line("round %d: %zu requests sent later than config_apply_ms were run by the old service", round, late.size());
        broken += late.empty() ? 0 : 1;
    }
    stopping = true;
    for (auto &thread : threads) {
        thread.join();
    }
    Record::line("%d served; the rule was broken in %d of %d rounds", served.load(), broken, rounds);
    static_assert(calmSeconds > 2.0 * contactSeconds);
    if (served < 100) {
        return couldNotRun;
    }
    return broken > 0 ? ruleBroken : ruleHeld;
}
