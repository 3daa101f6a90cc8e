#include "tamarackspan/configuration/cross_check.h"
#include "tamarackspan/configuration/host_settings.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace {

using namespace tamarackspan::configuration;
using namespace tamarackspan;

namespace fs = std::filesystem;

auto readFile(const fs::path &path) -> std::string
{
    auto file = std::ifstream(path);
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

auto examplesFolder() -> fs::path
{
    return TAMARACKSPAN_EXAMPLES;
}

auto tomlFilesUnder(const fs::path &folder) -> std::vector<fs::path>
{
    auto files = std::vector<fs::path>{};
    for (const auto &entry : fs::recursive_directory_iterator(folder)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path());
        }
    }
    return files;
}

/// Reads the published documents of one deployment and reports a test failure for each that a host would reject.
auto readDocuments(const fs::path &deployment) -> std::vector<DocumentValue>
{
    auto documents = std::vector<DocumentValue>{};
    for (const auto &file : tomlFilesUnder(deployment / "platform")) {
        const auto key = fs::relative(file, deployment / "platform").replace_extension().string();
        const auto parsed = parseDocument(key, readFile(file));
        if (parsed.ok()) {
            documents.push_back(parsed.value());
        } else {
            ADD_FAILURE() << file << ": " << toString(parsed.error().front());
        }
    }
    return documents;
}

/// The number of services and leafs in one data centre, by the service's name without its number.
auto leafsByGroup(const std::vector<DocumentValue> &documents, const std::string &dataCentre) -> std::map<std::string, std::string>
{
    auto services = std::map<std::string, std::size_t>{};
    auto leafs = std::map<std::string, std::size_t>{};
    for (const auto &document : documents) {
        const auto *service = std::get_if<contracts::Service>(&document);
        if (service != nullptr && service->dataCentre.get() == dataCentre) {
            const auto name = service->name.get();
            const auto group = name.substr(0, name.find_last_not_of("0123456789-") + 1);
            services[group] += 1;
            leafs[group] += service->leafs.size();
        }
    }
    auto sizes = std::map<std::string, std::string>{};
    for (const auto &[group, count] : services) {
        sizes[group] = absl::StrCat(count, " services, ", leafs[group], " leafs");
    }
    return sizes;
}

TEST(Examples, EveryPublishedDocumentIsAcceptedAndEachServiceIsThere)
{
    for (const auto *name : {"local", "imereti", "pnw"}) {
        const auto documents = readDocuments(examplesFolder() / name);
        EXPECT_FALSE(documents.empty()) << name;
        for (const auto &error : findMissingServices(documents)) {
            ADD_FAILURE() << name << ": " << toString(error);
        }
    }
}

TEST(Examples, EveryHostHasValidSettingsAndIsListed)
{
    for (const auto *name : {"local", "imereti", "pnw"}) {
        auto listed = std::map<std::string, std::string>{};
        for (const auto &document : readDocuments(examplesFolder() / name)) {
            if (const auto *list = std::get_if<contracts::HostList>(&document)) {
                for (const auto &host : list->hosts) {
                    listed[host.id.get()] = list->dataCentre.get();
                }
            }
        }
        auto configured = std::map<std::string, std::string>{};
        for (const auto &file : tomlFilesUnder(examplesFolder() / name / "hosts")) {
            const auto settings = parseSettings(readFile(file), file.string());
            ASSERT_TRUE(settings.ok()) << toString(settings.error().front());
            configured[settings.value().host.innerAddress.get()] = settings.value().host.dataCentre.get();
        }
        EXPECT_EQ(configured, listed) << name;
    }
}

TEST(Examples, HaveTheExpectedNumbersOfServicesAndLeafs)
{
    const auto imereti = readDocuments(examplesFolder() / "imereti");
    for (const auto *dataCentre : {"kutaisi", "zestaponi", "samtredia"}) {
        EXPECT_EQ(leafsByGroup(imereti, dataCentre),
                  (std::map<std::string, std::string>{{"agronomy-desk", "20 services, 40 leafs"},
                                                      {"depot-booking", "30 services, 60 leafs"},
                                                      {"members-ledger", "1 services, 13 leafs"},
                                                      {"sprout-log", "1 services, 6 leafs"}}));
    }
    const auto pnw = readDocuments(examplesFolder() / "pnw");
    for (const auto *dataCentre : {"seattle", "portland", "spokane", "boise"}) {
        EXPECT_EQ(leafsByGroup(pnw, dataCentre),
                  (std::map<std::string, std::string>{{"caterer-portal", "30 services, 60 leafs"},
                                                      {"family-booking", "1 services, 7 leafs"},
                                                      {"mosque-admin", "1 services, 4 leafs"},
                                                      {"tent-desk", "20 services, 40 leafs"}}));
    }
}

TEST(CrossCheck, NamesTheOperationAndTheDataCentreOfAMissingService)
{
    auto documents = readDocuments(examplesFolder() / "imereti");
    std::erase_if(documents, [](const DocumentValue &document) {
        const auto *service = std::get_if<contracts::Service>(&document);
        return service != nullptr && service->name.get() == "sprout-log" && service->dataCentre.get() == "kutaisi";
    });
    const auto errors = findMissingServices(documents);
    ASSERT_EQ(errors.size(), 2U);
    EXPECT_EQ(toString(errors.front()),
              "contracts/sprout-log: operations.frost-alert.service: expected services/kutaisi/sprout-log to be published, found nothing");
}

} // namespace
