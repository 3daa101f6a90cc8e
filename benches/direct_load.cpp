#include "direct_load.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/http/client.h"
#include "tamarackspan/transport/event_loop.h"

#include <cmath>
#include <memory>

namespace tamarackspan::benches {

namespace {

struct Query
{
    absl::Time startedAt;
    std::size_t pending = 0;
    bool failed = false;
};

class DirectRun
{
public:
    explicit DirectRun(const DirectLoad &load)
        : load(load),
          client(this->loop, http::ClientOptions()),
          random(load.seed)
    {
    }

    auto run() -> std::vector<absl::Duration>
    {
        this->endAt = base::monotonicNow() + this->load.duration;
        this->scheduleNext();
        this->loop.runAt(this->endAt + absl::Seconds(1), [this] {
            this->loop.stop();
        });
        this->loop.run();
        return std::move(this->latencies);
    }

private:
    auto scheduleNext() -> void
    {
        const auto gap = absl::Seconds(-std::log(1.0 - this->random.unit()) / this->load.queriesPerSecond);
        this->loop.runAt(base::monotonicNow() + gap, [this] {
            if (base::monotonicNow() < this->endAt) {
                this->send();
                this->scheduleNext();
            }
        });
    }

    auto send() -> void
    {
        const auto query = std::make_shared<Query>(Query{base::monotonicNow(), this->load.leafs.size(), false});
        ++this->number;
        for (auto shard = std::size_t{0}; shard < this->load.leafs.size(); ++shard) {
            auto request = http::Request();
            request.method = "POST";
            request.pool = this->load.leafs[shard];
            request.url = "http://" + request.pool + "/v1/shards/" + std::to_string(shard) + "/query";
            request.body = "{}";
            request.maxConnections = this->load.connectionsPerLeaf;
            request.headers = {{"Tamarackspan-Request", "1-" + std::to_string(this->number) + "." + std::to_string(shard)},
                               {"Tamarackspan-Service", "bench"},
                               {"Tamarackspan-Index-Version", "1"},
                               {"Tamarackspan-Map-Generation", "1"},
                               {"Tamarackspan-Deadline-Ms", "1000"},
                               {"Tamarackspan-Customer", "bench"},
                               {"Tamarackspan-Operation", "search"},
                               {"Tamarackspan-Priority", "routine"}};
            this->client.send(std::move(request), [this, query](const http::Response &response) {
                this->onResponse(*query, response);
            });
        }
    }

    auto onResponse(Query &query, const http::Response &response) -> void
    {
        query.failed = query.failed || response.outcome != http::Outcome::Ok || response.status != 200;
        if (--query.pending == 0 && !query.failed) {
            this->latencies.push_back(base::monotonicNow() - query.startedAt);
        }
    }

    const DirectLoad &load;
    transport::EventLoop loop;
    http::Client client;
    base::Random random;
    absl::Time endAt;
    std::uint64_t number = 0;
    std::vector<absl::Duration> latencies;
};

} // namespace

auto runDirectLoad(const DirectLoad &load) -> std::vector<absl::Duration>
{
    return DirectRun(load).run();
}

} // namespace tamarackspan::benches
