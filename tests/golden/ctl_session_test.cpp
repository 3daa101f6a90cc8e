#include "golden_file.h"
#include "golden_fleet.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <tuple>

namespace tamarackspan::golden {

namespace {

constexpr auto stopTimeout = absl::Seconds(30);
constexpr auto queriesForCosts = 3;

/// A temporary folder that the destructor removes.
class Folder
{
public:
    Folder()
    {
        auto path = (std::filesystem::temp_directory_path() / "tamarackspan-golden-XXXXXX").string();
        this->path = mkdtemp(path.data()) == nullptr ? std::string() : path;
    }
    ~Folder()
    {
        auto ignored = std::error_code();
        std::filesystem::remove_all(this->path, ignored);
    }
    Folder(const Folder &) = delete;
    auto operator=(const Folder &) -> Folder & = delete;

    [[nodiscard]] auto write(const std::string &name, const std::string &text) const -> std::string
    {
        const auto file = std::filesystem::path(this->path) / name;
        std::filesystem::create_directories(file.parent_path());
        std::ofstream(file) << text;
        return file.string();
    }

    std::string path;
};

TEST(CtlFiles, Validate)
{
    const auto folder = Folder();
    auto session = Session(folder.path, {{folder.path, "<folder>"}, {TAMARACKSPAN_EXAMPLES, "<examples>"}});
    session.note("good: the example deployments");
    session.runCtl({"validate", absl::StrCat(TAMARACKSPAN_EXAMPLES, "/local/platform"), absl::StrCat(TAMARACKSPAN_EXAMPLES, "/local/hosts")});
    session.runCtl({"validate", absl::StrCat(TAMARACKSPAN_EXAMPLES, "/imereti"), absl::StrCat(TAMARACKSPAN_EXAMPLES, "/pnw")});
    session.note("faults in a contract");
    session.runCtl({"validate",
                    folder.write("draft.toml",
                                 "customer = \"desk\"\n[limits]\nrequests_per_second = 0\nburst = -1\n"
                                 "[data_centres]\na = 700\nb = 400\n[operations.find]\nservice = \"s\"\nkind = \"ask\"\n")});
    session.note("faults in settings");
    session.runCtl({"validate", folder.write("host.toml", "[host]\ndata_centre = \"a\"\ninner_address = \"localhost:7000\"\n[timing]\nleas_ms = 5\n")});
    session.note("no TOML, no known document, and no file");
    session.runCtl({"validate", folder.write("broken.toml", "customer = \n"), folder.write("other.toml", "colour = 1\n")});
    session.runCtl({"validate", absl::StrCat(folder.path, "/missing.toml")});
    session.note("a folder whose contract names a service that isn't published, and whose service has another name than its key");
    std::ignore = folder.write("platform/contracts/desk.toml", deskContract(1));
    std::ignore = folder.write("platform/services/a/trays.toml",
                               "service = \"boxes\"\ndata_centre = \"a\"\nindex_versions = [1]\n[leafs.l]\naddress = \"10.0.0.1\"\n"
                               "port = 80\nslots = 1\nconnections = 1\n[[shards]]\nid = 0\nreplicas = [\"l\"]\n");
    session.runCtl({"validate", absl::StrCat(folder.path, "/platform")});
    session.runCtl({"validate", "--json", absl::StrCat(folder.path, "/platform/services/a/trays.toml")});
    expectGolden("ctl-validate", session.transcript());
}

TEST(CtlFiles, Usage)
{
    const auto folder = Folder();
    auto session = Session(folder.path, {{folder.path, "<folder>"}, {TAMARACKSPANCTL_PROGRAM, "tamarackspanctl"}});
    session.runCtl({"--help"});
    session.runCtl({"--version"});
    session.runCtl({});
    session.runCtl({"guess"});
    session.runCtl({"status"});
    session.runCtl({"explain", "127.0.0.1:1"});
    session.runCtl({"audit", "127.0.0.1:1", "127.0.0.1:2"});
    session.runCtl({"status", "--csv", "127.0.0.1:1"});
    session.note("not an address, and nothing that listens");
    session.runCtl({"status", "localhost:1"});
    session.runCtl({"status", "127.0.0.1:1"});
    expectGolden("ctl-usage", session.transcript());
}

class CtlHosts : public GoldenFleet
{
protected:
    static auto admin(std::size_t host) -> const std::string &
    {
        return addresses(host).admin;
    }
};

TEST_F(CtlHosts, StatusAndExplain)
{
    auto session = newSession();
    session.runCtl({"status", "--json", admin(0)});
    session.runCtl({"explain", "--customer", "desk", admin(0)});
    session.runCtl({"explain", "--customer", "nobody", admin(0)});
    session.runCtl({"explain", "--service", "trays", "--leaf", "leaf-0", admin(1)});
    session.runCtl({"explain", "--service", "trays", "--leaf", "leaf-9", admin(1)});
    expectGolden("ctl-status-explain", session.transcript());
}

TEST_F(CtlHosts, Costs)
{
    auto session = newSession();
    for (auto i = 0; i < queriesForCosts; ++i) {
        const auto host = static_cast<std::size_t>(i) % 2;
        const auto reply = testkit::httpPost(absl::StrCat("http://", addresses(host).caller, "/v1/customers/desk/operations/find/query"), "{}");
        ASSERT_TRUE(reply.ok()) << reply.status();
        ASSERT_EQ(reply->status, 200U) << reply->body;
    }
    session.note("three queries over two shards through both hosts");
    session.runCtl({"costs", "--json", admin(0), admin(1)});
    expectGolden("ctl-costs", session.transcript());
}

TEST_F(CtlHosts, AuditOfAChangeAndARejection)
{
    auto session = newSession();
    ASSERT_TRUE(fleet().publish("contracts/desk", deskContract(200)).ok());
    waitFor(0, "/audit", "\"after\": \"200\"");
    ASSERT_TRUE(fleet().publish("contracts/desk", "customer = \"desk\"\nlimit = 3\n").ok());
    waitFor(0, "/audit", "\"rejected\"");
    session.note("the contract's burst went from 100 to 200, then a faulty text was published");
    session.runCtl({"audit", admin(0)});
    expectGolden("ctl-audit", sortAuditEntries(session.transcript()));
}

TEST_F(CtlHosts, Drain)
{
    auto session = newSession();
    session.runCtl({"drain", admin(1)});
    const auto ended = fleet().process(indexOf(1)).wait(stopTimeout);
    session.note(ended && ended->status ? absl::StrCat("the host ended with status ", *ended->status) : "the host did not end");
    session.runCtl({"status", admin(1)});
    expectGolden("ctl-drain", session.transcript());
}

} // namespace

} // namespace tamarackspan::golden
