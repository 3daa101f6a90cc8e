#include "tamarackspan/testkit/fleet.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"
#include "tamarackspan/testkit/history.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto startTimeout = absl::Seconds(20);
constexpr auto pollInterval = absl::Milliseconds(5);
constexpr auto readyCallTimeout = absl::Seconds(2);

/// Below the ephemeral port range, so that no outgoing connection takes a port before the host binds it.
constexpr auto firstPort = std::uint32_t{10000};
constexpr auto portCount = std::uint32_t{20000};
/// Spreads the first ports of test processes that run in parallel.
constexpr auto portStride = std::uint32_t{211};

auto canBind(std::uint16_t port) -> bool
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    base::require(fd >= 0, "can't open a socket to test a port");
    const auto on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto bound = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    return bound;
}

auto makeFolder() -> std::string
{
    const auto *root = std::getenv("TMPDIR");
    auto path = absl::StrCat(root != nullptr ? root : "/tmp", "/tamarackspan-fleet-XXXXXX");
    base::require(mkdtemp(path.data()) != nullptr, "can't create the temporary folder of a fleet");
    return path;
}

auto quoted(const std::vector<std::string> &texts) -> std::string
{
    return absl::StrCat("[",
                        absl::StrJoin(texts, ", ",
                                      [](std::string *out, const std::string &text) {
                                          absl::StrAppend(out, Json(text).dump());
                                      }),
                        "]");
}

auto expectOk(const absl::StatusOr<HttpResult> &result) -> absl::Status
{
    if (!result.ok()) {
        return result.status();
    }
    return result->status == 200 ? absl::OkStatus() : absl::InvalidArgumentError(absl::StrCat(result->status, ": ", result->body));
}

} // namespace

struct Fleet::Host
{
    HostOptions options;
    HostAddresses addresses;
    std::string name;
    std::unique_ptr<ChildProcess> process;
};

auto freePort() -> std::uint16_t
{
    static auto mutex = std::mutex();
    static auto next = static_cast<std::uint32_t>(getpid()) * portStride;
    const auto lock = std::scoped_lock(mutex);
    for (auto i = std::uint32_t{0}; i < portCount; ++i) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (canBind(port)) {
            return port;
        }
    }
    base::require(false, "no port of the test range is free");
    return 0;
}

Fleet::Fleet(FleetPrograms programs)
    : programs(std::move(programs)),
      directory(makeFolder()),
      platform(std::make_unique<ChildProcess>(this->programs.platformStandIn, std::vector<std::string>(), this->directory + "/platform.out"))
{
    const auto listens = this->platform->waitForLines("listening ", 1, startTimeout);
    const auto control = this->platform->waitForLines("control ", 1, startTimeout);
    base::require(listens.ok() && control.ok(), "the platform stand-in did not start");
    this->platformListenAddress = listens->front();
    this->platformControlAddress = control->front();
}

Fleet::~Fleet()
{
    this->hosts.clear();
    this->leafProcesses.clear();
    this->platform.reset();
    if (std::getenv("TAMARACKSPAN_KEEP") == nullptr) {
        auto ignored = std::error_code();
        std::filesystem::remove_all(this->directory, ignored);
    }
}

auto Fleet::folder() const -> const std::string &
{
    return this->directory;
}

auto Fleet::startLeafs(const std::vector<Json> &leafs) -> absl::StatusOr<std::vector<std::uint16_t>>
{
    const auto name = absl::StrCat(this->directory, "/leafs-", this->leafProcesses.size());
    // JSON values are also valid TOML values, except null, which no key accepts.
    auto script = std::ofstream(name + ".toml");
    for (const auto &leaf : leafs) {
        script << "[[leaf]]\n";
        for (const auto &[key, value] : leaf.items()) {
            script << key << " = " << value.dump() << "\n";
        }
    }
    script.close();
    const auto arguments = std::vector<std::string>{"--script", name + ".toml", "--history", name + ".jsonl"};
    this->leafProcesses.push_back(std::make_unique<ChildProcess>(this->programs.leafStandIn, arguments, name + ".out"));
    this->leafHistoryPaths.push_back(name + ".jsonl");
    const auto control = this->leafProcesses.back()->waitForLines("control ", 1, startTimeout);
    const auto listens = this->leafProcesses.back()->waitForLines("listening ", leafs.size(), startTimeout);
    if (!control.ok() || !listens.ok()) {
        return control.ok() ? listens.status() : control.status();
    }
    auto ports = std::vector<std::uint16_t>();
    for (auto i = std::size_t{0}; i < leafs.size(); ++i) {
        const auto &address = (*listens)[i];
        ports.push_back(static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1))));
        this->leafControlAddresses[leafs[i].value("id", "leaf")] = control->front();
    }
    return ports;
}

auto Fleet::controlLeaf(const std::string &leaf, const Json &change) -> absl::Status
{
    const auto found = this->leafControlAddresses.find(leaf);
    if (found == this->leafControlAddresses.end()) {
        return absl::NotFoundError(absl::StrCat("unknown leaf ", leaf));
    }
    return expectOk(httpPost(absl::StrCat("http://", found->second, "/control/", leaf), change.dump()));
}

auto Fleet::platformAddress() const -> std::string
{
    return this->platformListenAddress;
}

auto Fleet::publish(const std::string &key, const std::string &value) -> absl::Status
{
    return this->controlPlatform(Json{{"publish", {{"key", key}, {"value", value}}}});
}

auto Fleet::controlPlatform(const Json &change) -> absl::Status
{
    return expectOk(httpPost(absl::StrCat("http://", this->platformControlAddress, "/control"), change.dump()));
}

auto Fleet::platformStatistics() -> absl::StatusOr<Json>
{
    const auto result = httpGet(absl::StrCat("http://", this->platformControlAddress, "/stats"));
    const auto status = expectOk(result);
    if (!status.ok()) {
        return status;
    }
    return Json::parse(result->body, nullptr, false);
}

auto Fleet::addHost(HostOptions options) -> std::size_t
{
    const auto address = [] {
        return absl::StrCat("127.0.0.1:", freePort());
    };
    auto host = std::make_unique<Host>();
    host->options = std::move(options);
    host->addresses = {.inner = address(), .caller = address(), .admin = address()};
    host->name = absl::StrCat(this->directory, "/host-", this->hosts.size());
    this->hosts.push_back(std::move(host));
    return this->hosts.size() - 1;
}

auto Fleet::addresses(std::size_t host) const -> const HostAddresses &
{
    return this->hosts.at(host)->addresses;
}

auto Fleet::settingsOf(const Host &host) const -> std::string
{
    auto peers = std::vector<std::string>();
    for (const auto &other : this->hosts) {
        if (other.get() != &host) {
            peers.push_back(other->addresses.inner);
        }
    }
    const auto &options = host.options;
    return absl::StrCat("[host]\ndata_centre = ", Json(options.dataCentre).dump(), "\ninner_address = \"", host.addresses.inner, "\"\ncaller_address = \"",
                        host.addresses.caller, "\"\nadmin_address = \"", host.addresses.admin, "\"\ntraffic_threads = ", options.trafficThreads,
                        "\n\n[platform]\naddresses = ", quoted(options.platform.value_or(std::vector{this->platformListenAddress})),
                        "\n\n[peers]\naddresses = ", quoted(options.peers.value_or(peers)), "\n\n[timing]\n", absl::StrJoin(options.timing, "\n"),
                        "\n\n[log]\nlevel = \"info\"\nformat = \"text\"\nfile = \"", host.name, ".log\"\n\n[audit]\nfile = \"", host.name, ".audit\"\n");
}

auto Fleet::startHost(std::size_t host) -> void
{
    auto &started = *this->hosts.at(host);
    started.process.reset();
    const auto path = started.name + ".toml";
    std::ofstream(path) << this->settingsOf(started);
    auto arguments = std::vector<std::string>{"--settings", path};
    arguments.insert(arguments.end(), started.options.arguments.begin(), started.options.arguments.end());
    started.process = std::make_unique<ChildProcess>(this->programs.daemon, arguments, started.name + ".out");
}

auto Fleet::waitReady(std::size_t host, absl::Duration timeout) -> absl::Status
{
    const auto deadline = base::monotonicNow() + timeout;
    const auto url = absl::StrCat("http://", this->addresses(host).admin, "/ready");
    auto &process = this->process(host);
    while (base::monotonicNow() < deadline) {
        const auto result = httpSend("GET", url, {}, {}, readyCallTimeout);
        if (result.ok() && result->status == 200) {
            return absl::OkStatus();
        }
        if (process.wait(absl::ZeroDuration()).has_value()) {
            return absl::AbortedError(absl::StrCat("host ", host, " exited before it was ready: ", process.output()));
        }
        absl::SleepFor(pollInterval);
    }
    return absl::DeadlineExceededError(absl::StrCat("host ", host, " was not ready before the timeout: ", process.output()));
}

auto Fleet::startAll(absl::Duration timeout) -> absl::Status
{
    const auto deadline = base::monotonicNow() + timeout;
    for (auto i = std::size_t{0}; i < this->hosts.size(); ++i) {
        this->startHost(i);
    }
    for (auto i = std::size_t{0}; i < this->hosts.size(); ++i) {
        auto status = this->waitReady(i, deadline - base::monotonicNow());
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

auto Fleet::process(std::size_t host) -> ChildProcess &
{
    base::require(this->hosts.at(host)->process != nullptr, "the host was not started");
    return *this->hosts.at(host)->process;
}

auto Fleet::outputs() const -> std::string
{
    auto text = std::string();
    for (const auto &host : this->hosts) {
        if (host->process != nullptr) {
            absl::StrAppend(&text, "output of the host at ", host->addresses.caller, ":\n", host->process->output(), "\n");
        }
    }
    return text;
}

auto Fleet::leafHistory() const -> std::vector<Json>
{
    auto records = std::vector<Json>();
    for (const auto &path : this->leafHistoryPaths) {
        for (auto &record : readHistory(path)) {
            records.push_back(std::move(record));
        }
    }
    return records;
}

} // namespace tamarackspan::testkit
