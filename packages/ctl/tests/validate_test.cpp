#include "tamarackspan/ctl/validate.h"

#include <gtest/gtest.h>

namespace tamarackspan::ctl {

namespace {

const auto contract = std::string(R"(customer = "c"
[limits]
requests_per_second = 10
burst = 1
concurrency = 1
[data_centres]
a = 1000
[operations.o]
service = "s"
kind = "query"
deadline_ms = 100
)");

const auto service = std::string(R"(service = "s"
data_centre = "a"
index_versions = [1]
[leafs.l]
address = "10.0.0.1"
port = 80
slots = 1
connections = 1
[[shards]]
id = 0
replicas = ["l"]
)");

TEST(Validate, GoodTextsOfAFolderHaveNoFaults)
{
    const auto report = validate({{"x/contracts/c.toml", contract}, {"x/services/a/s.toml", service}}, CrossCheck::On);
    EXPECT_EQ(report.contracts, 1U);
    EXPECT_EQ(report.services, 1U);
    EXPECT_TRUE(report.errors.empty()) << toString(report.errors.front());
}

TEST(Validate, AMissingServiceIsAnErrorOnlyWithTheCrossCheck)
{
    // The service belongs to another deployment.
    const auto texts = std::vector<NamedText>{{"x/contracts/c.toml", contract}, {"y/services/a/s.toml", service}};
    EXPECT_TRUE(validate(texts, CrossCheck::Off).errors.empty());
    const auto errors = validate(texts, CrossCheck::On).errors;
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(toString(errors.front()), "x/contracts/c.toml: operations.o.service: expected services/a/s to be published, found nothing");
}

TEST(Validate, NamesMustBeThoseOfTheKey)
{
    const auto errors = validate({{"x/contracts/other.toml", contract}}, CrossCheck::Off).errors;
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors.front().position.path, "x/contracts/other.toml");
    EXPECT_TRUE(validate({{"draft.toml", contract}}, CrossCheck::Off).errors.empty());
}

TEST(Validate, EveryFaultNamesFileLineAndKey)
{
    const auto errors = validate({{"c.toml", "customer = \"c\"\nlimit = 3\n"}, {"empty.toml", ""}, {"bad.toml", "a ="}}, CrossCheck::Off).errors;
    ASSERT_GE(errors.size(), 3U);
    EXPECT_EQ(errors.front().position.path, "c.toml");
    EXPECT_EQ(errors.back().position.path, "bad.toml");
    EXPECT_EQ(errors[errors.size() - 2].message, "expected host settings, a contract, a service or a host list; found none of their keys");
}

TEST(Validate, SettingsAreReadAsTheDaemonReadsThem)
{
    const auto report = validate({{"h.toml", "[host]\ndata_centre = \"a\"\ntraffic_threads = 0\n"}}, CrossCheck::Off);
    EXPECT_EQ(report.settings, 1U);
    EXPECT_FALSE(report.errors.empty());
}

} // namespace

} // namespace tamarackspan::ctl
