#include "golden_fleet.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/str_cat.h"

#include <cstdint>
#include <vector>

namespace tamarackspan::golden {

namespace {

constexpr auto startTimeout = absl::Seconds(60);
constexpr auto stateTimeout = absl::Seconds(30);
constexpr auto pollInterval = absl::Milliseconds(50);
constexpr auto hostCount = std::size_t{2};

auto serviceText(const std::vector<std::uint16_t> &ports) -> std::string
{
    auto text = std::string("service = \"trays\"\ndata_centre = \"a\"\npublished_by = \"golden\"\nindex_versions = [42, 41]\n");
    for (auto i = std::size_t{0}; i < ports.size(); ++i) {
        absl::StrAppend(&text, "[leafs.leaf-", i, "]\naddress = \"127.0.0.1\"\nport = ", ports[i], "\nslots = 4\nconnections = 20\n");
    }
    for (auto i = std::size_t{0}; i < ports.size(); ++i) {
        absl::StrAppend(&text, "[[shards]]\nid = ", i, "\nreplicas = [\"leaf-", i, "\"]\n");
    }
    return text;
}

auto scarceContract() -> std::string
{
    return "customer = \"scarce\"\npublished_by = \"golden\"\n[limits]\nrequests_per_second = 2\nburst = 2\nconcurrency = 10\n[data_centres]\na = 1000\n"
           "[operations.find]\nservice = \"trays\"\nkind = \"query\"\ndeadline_ms = 2000\nextra_load_permille = 0\n";
}

auto hostListText(const testkit::Fleet &fleet) -> std::string
{
    auto text = std::string("data_centre = \"a\"\n");
    for (auto host = std::size_t{0}; host < hostCount; ++host) {
        absl::StrAppend(&text, "[[hosts]]\nid = \"", fleet.addresses(host).inner, "\"\n");
    }
    return text;
}

} // namespace

std::unique_ptr<testkit::Fleet> GoldenFleet::running;

auto deskContract(int burst) -> std::string
{
    return absl::StrCat("customer = \"desk\"\npublished_by = \"golden\"\n[limits]\nrequests_per_second = 2000\nburst = ", burst,
                        "\nconcurrency = 100\n[data_centres]\na = 1000\n"
                        "[operations.find]\nservice = \"trays\"\nkind = \"query\"\ndeadline_ms = 2000\ncoverage_floor_permille = 1000\n"
                        "below_floor = \"refuse\"\nextra_load_permille = 0\nmax_rows = 4\n"
                        "[operations.browse]\nservice = \"trays\"\nkind = \"query\"\ndeadline_ms = 2000\ncoverage_floor_permille = 1000\n"
                        "below_floor = \"label\"\nextra_load_permille = 0\nmax_rows = 4\n"
                        "[operations.book]\nservice = \"trays\"\nkind = \"execute\"\npriority = \"urgent\"\ndeadline_ms = 1000\n"
                        "[operations.lost]\nservice = \"absent\"\nkind = \"query\"\ndeadline_ms = 1000\n");
}

auto GoldenFleet::SetUpTestSuite() -> void
{
    running = std::make_unique<testkit::Fleet>(testkit::FleetPrograms{TAMARACKSPAND_PROGRAM, LEAFSTANDIN_PROGRAM, PLATFORMSTANDIN_PROGRAM});
    auto leafs = std::vector<nlohmann::json>();
    for (auto i = 0; i < 2; ++i) {
        leafs.push_back({{"id", absl::StrCat("leaf-", i)}, {"slots", 4}, {"connections", 20}, {"shards", {i}}, {"index_versions", {42, 41}}, {"rows", 3}});
    }
    const auto ports = running->startLeafs(leafs);
    ASSERT_TRUE(ports.ok()) << ports.status();
    for (auto host = std::size_t{0}; host < hostCount; ++host) {
        auto options = testkit::HostOptions();
        options.timing = {"lease_ms = 2000", "host_list_lag_ms = 500", "drain_wait_ms = 500"};
        running->addHost(options);
    }
    ASSERT_TRUE(running->publish("hosts/a", hostListText(*running)).ok());
    ASSERT_TRUE(running->publish("services/a/trays", serviceText(*ports)).ok());
    ASSERT_TRUE(running->publish("contracts/desk", deskContract(100)).ok());
    ASSERT_TRUE(running->publish("contracts/scarce", scarceContract()).ok());
    const auto started = running->startAll(startTimeout);
    ASSERT_TRUE(started.ok()) << started;
    for (auto host = std::size_t{0}; host < hostCount; ++host) {
        waitFor(host, "/status", "\"freshness\": \"confirmed\"");
        waitFor(host, "/status", "\"documents\": 4");
        // Each host's share is half of the contract's limits.
        waitFor(host, "/explain?customer=scarce", "\"own_part\": {\n    \"requests_per_second\": 1");
        waitFor(host, "/explain?customer=desk", "\"own_part\": {\n    \"requests_per_second\": 1000");
    }
}

auto GoldenFleet::TearDownTestSuite() -> void
{
    running.reset();
}

auto GoldenFleet::fleet() -> testkit::Fleet &
{
    return *running;
}

auto GoldenFleet::indexOf(std::size_t host) -> std::size_t
{
    const auto inOrder = running->addresses(0).inner < running->addresses(1).inner;
    return inOrder ? host : hostCount - 1 - host;
}

auto GoldenFleet::addresses(std::size_t host) -> const testkit::HostAddresses &
{
    return running->addresses(indexOf(host));
}

auto GoldenFleet::newSession() -> Session
{
    auto replacements = std::vector<Replacement>{{running->folder(), "<folder>"}};
    for (auto host = std::size_t{0}; host < hostCount; ++host) {
        const auto &own = addresses(host);
        replacements.push_back({own.inner, absl::StrCat("<host-", host, " inner>")});
        replacements.push_back({own.caller, absl::StrCat("<host-", host, " caller>")});
        replacements.push_back({own.admin, absl::StrCat("<host-", host, " admin>")});
    }
    return {running->folder(), std::move(replacements)};
}

auto GoldenFleet::waitFor(std::size_t host, const std::string &path, const std::string &text) -> void
{
    const auto deadline = base::monotonicNow() + stateTimeout;
    auto last = std::string();
    while (base::monotonicNow() < deadline) {
        const auto answer = testkit::httpGet(absl::StrCat("http://", addresses(host).admin, path));
        last = answer.ok() ? answer->body : std::string(answer.status().message());
        if (last.find(text) != std::string::npos) {
            return;
        }
        absl::SleepFor(pollInterval);
    }
    ADD_FAILURE() << "host " << host << ": " << path << " doesn't contain " << text << ":\n" << last;
}

} // namespace tamarackspan::golden
