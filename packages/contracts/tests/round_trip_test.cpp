#include "tamarackspan/contracts/derived_limits.h"
#include "tamarackspan/contracts/diff.h"
#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/render.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using namespace tamarackspan::contracts;
using namespace tamarackspan;

auto number(std::uint32_t least, std::uint32_t most) -> std::uint32_t
{
    return *rc::gen::inRange(least, most + 1);
}

auto name() -> std::string
{
    static const auto names = std::vector<std::string>{"a", "b-1", "c.d", "E_2", "0", "lot-history"};
    return *rc::gen::elementOf(names);
}

auto publisher() -> std::string
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

auto randomContract() -> Contract
{
    auto contract = Contract{};
    contract.customer = base::CustomerName(name());
    contract.publishedBy = publisher().substr(0, 200);
    contract.removed = number(0, 9) == 0;
    if (contract.removed) {
        return contract;
    }
    contract.limits = {number(1, 1'000'000), number(0, 1000), number(1, 1000)};
    for (auto i = number(1, 4); i > 0; --i) {
        contract.dataCentrePermille[base::DataCentre(name())] = number(0, 250);
    }
    for (auto i = number(1, 3); i > 0; --i) {
        auto operation = Operation{};
        operation.name = base::OperationName(name());
        operation.service = base::ServiceName(name());
        operation.priority = number(0, 1) == 0 ? Priority::Urgent : Priority::Routine;
        operation.deadline = absl::Milliseconds(number(1, 600'000));
        if (number(0, 1) == 0) {
            operation.kind = OperationKind::Execute;
        } else {
            operation.coverageFloorPermille = number(0, 1000);
            operation.belowFloor = number(0, 1) == 0 ? BelowFloor::Refuse : BelowFloor::Label;
            operation.extraLoadPermille = number(0, 1000);
            operation.maxRows = number(1, 1000);
        }
        contract.operations[operation.name] = operation;
    }
    return contract;
}

auto randomService() -> Service
{
    auto service = Service{};
    service.name = base::ServiceName(name());
    service.dataCentre = base::DataCentre(name());
    service.indexVersions = {base::IndexVersion(number(10, 20)), base::IndexVersion(number(0, 9))};
    service.ownershipGroupSize = number(1, 9);
    auto replicas = std::vector<base::LeafId>{};
    for (auto i = number(1, 4); i > 0; --i) {
        const auto id = base::LeafId(absl::StrCat("l", i));
        service.leafs[id] = {id, number(0, 1) == 0 ? "10.0.0.1" : "fd00::1", 80, number(1, 9), number(1, 9), number(0, 1) == 0};
        replicas.push_back(id);
    }
    for (auto i = number(1, 5); i > 0; --i) {
        service.shards.push_back({base::ShardId(100 - i), replicas});
    }
    return service;
}

TEST(RoundTrip, ParseGivesBackWhatToTomlWrote)
{
    EXPECT_TRUE(rc::check("contract", [] {
        const auto contract = randomContract();
        const auto parsed = parseContract(toToml(contract), "x");
        RC_ASSERT(parsed.ok());
        RC_ASSERT(parsed.value() == contract);
    }));
    EXPECT_TRUE(rc::check("service", [] {
        const auto service = randomService();
        const auto parsed = parseService(toToml(service), "x");
        RC_ASSERT(parsed.ok());
        RC_ASSERT(parsed.value() == service);
    }));
}

TEST(RoundTrip, AnyBytesGiveAnAnswerOrErrors)
{
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        const auto result = parseContract(bytes, "x");
        RC_ASSERT(!result.ok());
        RC_ASSERT(!result.error().empty());
    }));
    EXPECT_TRUE(rc::check("damaged contract", [] {
        auto text = toToml(randomContract());
        for (auto i = number(1, 5); i > 0; --i) {
            text[number(0, static_cast<std::uint32_t>(text.size()) - 1)] = *rc::gen::arbitrary<char>();
        }
        const auto result = parseContract(text, "x");
        RC_ASSERT(result.ok() || !result.error().empty());
        if (result.ok()) {
            RC_ASSERT(parseContract(toToml(result.value()), "x").value() == result.value());
        }
    }));
}

TEST(Diff, IsEmptyOnlyForEqualContractsAndNamesTheKeys)
{
    EXPECT_TRUE(rc::check("diff", [] {
        const auto before = randomContract();
        const auto after = randomContract();
        RC_ASSERT(diff(before, before).empty());
        RC_ASSERT(diff(before, after).empty() == (before == after));
    }));
    auto before = Contract{};
    auto after = before;
    before.limits = {1, 2, 3};
    after.limits = {1, 5, 3};
    const auto changes = diff(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(toString(changes.front()), "limits.burst: 2 -> 5");
}

TEST(DerivedLimits, LoseNoUnitAndGiveNoneTwice)
{
    EXPECT_TRUE(rc::check("sum over data centres", [] {
        auto contract = randomContract();
        contract.removed = false;
        auto sum = std::uint64_t{0};
        auto permille = std::uint64_t{0};
        for (const auto &[dataCentre, part] : contract.dataCentrePermille) {
            sum += derivedLimits(contract, dataCentre).limits.concurrency;
            permille += part;
        }
        RC_ASSERT(sum == contract.limits.concurrency * permille / 1000);
    }));
    EXPECT_EQ(derivedLimits(Contract{}, base::DataCentre("a")), DataCentreLimits{});
    EXPECT_EQ(hostShareRange({1000, {10, 0, 3}}, 4).min, (Limits{2, 0, 0}));
    EXPECT_EQ(hostShareRange({1000, {10, 0, 3}}, 4).max, (Limits{3, 0, 1}));
}

} // namespace
