// A leaf drains as planned while the store's cheap reads are seconds old. Nobody asks for a while; the next bookings still go to it, and are cut as it leaves.

#include "../kit.h"

using namespace kit;

namespace {

/// The age of what the store answers to reads with stale_ok=1.
constexpr auto staleSeconds = 3.0;
constexpr auto drainSeconds = 3.0;
/// After the quiet, bookings are sent this long after drain_ms; the leaf exits a little after drain_ms.
constexpr auto resumeAfter = 0.15;
constexpr auto littleLonger = 0.3;
/// A request that a client sent before the end of drain_ms may be on its way for this long.
constexpr auto onItsWay = 0.1;
constexpr auto bookingsAtOnce = 9;
constexpr auto workSeconds = 0.22;
constexpr auto rounds = 5;

struct Arrival
{
    std::string request;
    double sinceDraining;
};

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto run = Run::begin(argc, argv);
    auto store = Store();
    store.staleness = run.trouble ? staleSeconds : 0.0;
    auto mutex = std::mutex();
    auto drainedAt = std::map<std::string, double>();
    auto late = std::vector<Arrival>();
    auto ran = std::map<std::string, std::string>();
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
                ran[id] = leaf.id;
                if (const auto drained = drainedAt.find(leaf.id); drained != drainedAt.end()) {
                    const auto since = now() - drained->second;
                    Record::line("leaf %s runs %s, %.3f s after its draining was acknowledged", leaf.id.c_str(), id.c_str(), since);
                    if (since > drainSeconds + onItsWay) {
                        late.push_back({.request = id, .sinceDraining = since});
                    }
                }
            }
            sleepFor(workSeconds);
            const auto *const leaving = leaf.isDraining() ? "Server-Leaving: 1\r\n" : "";
            if (leaf.ended() || !connection.write(answerBytes(200, id, leaf.id + "/" + id, "booked", leaving))) {
                return;
            }
        }
    };
    const auto makeLeaf = [&](int number) {
        return std::make_unique<Leaf>(store, "i-" + std::to_string(number), "booking", "pnw-seattle", 3, handler);
    };
    auto leafs = std::deque<std::unique_ptr<Leaf>>();
    for (auto number = 1; number <= 3; ++number) {
        leafs.push_back(makeLeaf(number));
    }
    store.write("op/config", configuration(3, {{.prefix = "/book/", .idempotent = false, .service = "booking", .timeoutMs = 15000, .aimMs = 800}}, 110));
    sleepFor(staleSeconds + 1.5);
    const auto ports = freePorts(1);
    auto host = Host(run.root, run.temporary, 1, ports, {.store = store.address()});
    if (!host.waitReady(15.0)) {
        Record::line("the host isn't ready");
        return couldNotRun;
    }
    auto served = std::atomic<int>(0);
    auto lost = std::vector<std::string>();
    auto lastNumber = std::atomic<int>(0);
    const auto book = [&] {
        const auto id = "b" + std::to_string(++lastNumber);
        const auto connection = connectTo(host.ip, ports.front());
        auto answer = Message();
        if (connection != nullptr && connection->write(requestBytes("POST", "/book/seat", id, 15000, "one seat"))) {
            std::ignore = connection->read(answer, 16.0);
        }
        const auto lock = std::lock_guard(mutex);
        served += answer.status == 200 ? 1 : 0;
        if (answer.status != 200) {
            const auto place = ran.find(id);
            Record::line("client gets %d for %s, which %s", answer.status, id.c_str(), place == ran.end() ? "hasn't run" : ("ran on " + place->second).c_str());
            if (place != ran.end()) {
                lost.push_back(id);
            }
        }
    };
    const auto bookSome = [&] {
        auto threads = std::vector<std::thread>();
        for (auto count = 0; count < bookingsAtOnce; ++count) {
            threads.emplace_back(book);
        }
        for (auto &thread : threads) {
            thread.join();
        }
    };
    // The leafs of the service are replaced one after the other: the new one starts first, the old one drains.
    for (auto round = 0; round < rounds; ++round) {
        leafs.push_back(makeLeaf(4 + round));
        sleepFor(staleSeconds + 2.0);
        bookSome();
        auto old = std::move(leafs.front());
        leafs.pop_front();
        old->drain();
        const auto drained = now();
        {
            const auto lock = std::lock_guard(mutex);
            drainedAt[old->id] = drained;
        }
        Record::line("the store has accepted that leaf %s is draining", old->id.c_str());
        auto later = std::thread([&] {
            sleepUntil(drained + drainSeconds + resumeAfter);
            bookSome();
        });
        sleepUntil(drained + drainSeconds + littleLonger);
        Record::line("leaf %s exits", old->id.c_str());
        old->end(true);
        later.join();
    }
    for (const auto &arrival : late) {
        Record::line("DRAIN: %s reached its leaf %.3f s after the acknowledgement, drain_ms is 3000", arrival.request.c_str(), arrival.sinceDraining);
    }
    for (const auto &id : lost) {
        Record::line("%s isn't idempotent, ran at a leaf that has left, and was never answered with success", id.c_str());
    }
    Record::line("%d served, %zu reached a leaf later than drain_ms, %zu cut off", served.load(), late.size(), lost.size());
    if (served < 40) {
        return couldNotRun;
    }
    return late.empty() ? ruleHeld : ruleBroken;
}
