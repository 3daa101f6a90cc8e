#include "control_fleet.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

#include <utility>

namespace tamarackspan::control_tests {

namespace {

auto portOf(const std::string &address) -> std::uint16_t
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

} // namespace

ControlFleet::ControlFleet(std::size_t count, std::vector<std::string> timing)
    : fleet({.daemon = TAMARACKSPAND_PROGRAM, .leafStandIn = LEAFSTANDIN_PROGRAM, .platformStandIn = PLATFORMSTANDIN_PROGRAM}),
      timing(std::move(timing))
{
    for (auto i = std::size_t{0}; i < count; ++i) {
        this->addHost();
    }
    this->publishHosts();
}

auto ControlFleet::addHost() -> std::size_t
{
    this->relays.push_back(std::make_unique<testkit::Relay>(0, portOf(this->fleet.platformAddress()), 0));
    auto options = testkit::HostOptions();
    options.platform = {absl::StrCat("127.0.0.1:", this->relays.back()->port())};
    options.timing = this->timing;
    return this->fleet.addHost(std::move(options));
}

auto ControlFleet::publishHosts() -> void
{
    auto text = std::string("data_centre = \"a\"\n");
    for (auto i = std::size_t{0}; i < this->relays.size(); ++i) {
        absl::StrAppend(&text, "[[hosts]]\nid = \"", this->fleet.addresses(i).inner, "\"\n");
    }
    EXPECT_TRUE(this->fleet.publish("hosts/a", text).ok());
}

auto ControlFleet::publishContract(const ContractText &text) -> void
{
    const auto document = absl::StrCat("customer = \"", text.customer, "\"\n[limits]\nrequests_per_second = ", text.rate, "\nburst = ", text.burst,
                                       "\nconcurrency = ", text.concurrency, "\n[data_centres]\na = 1000\n[operations.read]\nservice = \"trays\"\n",
                                       "kind = \"query\"\npriority = \"routine\"\ndeadline_ms = 600\nextra_load_permille = 0\n");
    EXPECT_TRUE(this->fleet.publish(absl::StrCat("contracts/", text.customer), document).ok());
}

auto ControlFleet::publishService(std::uint32_t meanMicros) -> void
{
    const auto ports = this->fleet.startLeafs(
        {nlohmann::json{{"id", "leaf"}, {"slots", 60}, {"connections", 90}, {"shards", {0}}, {"index_versions", {1}}, {"mean_us", meanMicros}}});
    ASSERT_TRUE(ports.ok()) << ports.status();
    const auto document =
        absl::StrCat("service = \"trays\"\ndata_centre = \"a\"\nindex_versions = [1]\n[leafs.leaf]\naddress = \"127.0.0.1\"\nport = ", ports->front(),
                     "\nslots = 60\nconnections = 90\n[[shards]]\nid = 0\nreplicas = [\"leaf\"]\n");
    EXPECT_TRUE(this->fleet.publish("services/a/trays", document).ok());
}

auto ControlFleet::cutFromPlatform(std::size_t host, bool cut) -> void
{
    EXPECT_TRUE(this->relays.at(host)->change({{"refuse", cut}, {"cut", cut}}).ok());
}

auto ControlFleet::admin(std::size_t host, const std::string &path) const -> nlohmann::json
{
    const auto result = testkit::httpSend("GET", absl::StrCat("http://", this->fleet.addresses(host).admin, path), {}, {}, absl::Seconds(2));
    return result.ok() ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
}

auto ControlFleet::document(std::size_t host, const std::string &key) const -> nlohmann::json
{
    const auto configuration = this->admin(host, "/configuration");
    if (configuration.is_object()) {
        for (const auto &entry : configuration["documents"]) {
            if (entry["key"] == key) {
                return entry;
            }
        }
    }
    return {};
}

auto ControlFleet::rateInForce(std::size_t host, const std::string &customer) const -> unsigned
{
    const auto explained = this->admin(host, "/explain?customer=" + customer);
    const auto pointer = nlohmann::json::json_pointer("/contract/requests_per_second");
    return explained.is_object() && explained.contains(pointer) ? explained.at(pointer).get<unsigned>() : 0;
}

auto waitFor(absl::Duration timeout, const std::function<bool()> &condition) -> bool
{
    const auto deadline = base::monotonicNow() + timeout;
    while (!condition()) {
        if (base::monotonicNow() >= deadline) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
}

} // namespace tamarackspan::control_tests
