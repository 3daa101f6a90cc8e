#include "tamarackspan/configuration/document_store.h"
#include "tamarackspan/configuration/exchange.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace {

using namespace tamarackspan::configuration;
using namespace tamarackspan;

/// Returns a contract that is valid unless the revision is divisible by 3.
auto document(std::uint32_t customer, std::uint64_t revision, std::uint32_t variant = 0) -> Document
{
    const auto concurrency = revision % 3 == 0 ? std::string("0") : absl::StrCat(revision + variant);
    const auto name = absl::StrCat("c", customer);
    return {"contracts/" + name, base::Revision(revision),
            absl::StrCat("customer = \"", name, "\"\n[limits]\nrequests_per_second = 1\nburst = 0\nconcurrency = ", concurrency,
                         "\n[data_centres]\na = 1000\n[operations.o]\nservice = \"s\"\nkind = \"query\"\ndeadline_ms = 5\n")};
}

auto emptyStore(StoreRules rules = {}) -> DocumentStore
{
    auto store = DocumentStore{};
    store.dataCentre = base::DataCentre("a");
    store.rules = rules;
    return store;
}

auto apply(DocumentStore &store, const Document &document, DocumentSource source = DocumentSource::Platform) -> ApplyResult
{
    return applyDocument(store, document, source, absl::UnixEpoch());
}

auto acceptedRevision(const DocumentStore &store, const std::string &key) -> std::uint64_t
{
    const auto place = store.documents.find(key);
    return place == store.documents.end() || !place->second.accepted ? 0 : place->second.accepted->version.revision.get();
}

auto randomDocuments() -> std::vector<Document>
{
    auto documents = std::vector<Document>{};
    for (auto count = *rc::gen::inRange(1, 25); count > 0; --count) {
        documents.push_back(document(*rc::gen::inRange(0U, 3U), *rc::gen::inRange<std::uint64_t>(1, 12), *rc::gen::inRange(0U, 2U)));
    }
    return documents;
}

auto shuffled(std::vector<Document> documents) -> std::vector<Document>
{
    for (auto i = documents.size(); i > 1; --i) {
        std::swap(documents[i - 1], documents[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    return documents;
}

/// Returns the versions held, to compare two whole stores.
auto versions(const DocumentStore &store) -> std::vector<ListedVersions>
{
    return listPage(store, {}).documents;
}

/// Transfers to one host what a peer holds and the host lacks, using the messages of the exchange.
auto pull(DocumentStore &store, const DocumentStore &peer) -> void
{
    const auto scope = differingScope(store, {peer.dataCentre, peer.digest, {}, {}});
    if (!scope) {
        return;
    }
    const auto fetch = wantedKeys(store, listPage(peer, {*scope, ""}));
    for (const auto &arrived : documentsFor(peer, fetch).documents) {
        apply(store, arrived, DocumentSource::Peer);
    }
}

/// Delivers the documents in any order, repeatedly, and checks that no accepted revision decreases and that all orders lead to the same contents.
auto checkOrders(StoreRules rules) -> bool
{
    return rc::check("any order ends alike and nothing reverts", [rules] {
        const auto documents = randomDocuments();
        auto first = emptyStore(rules);
        auto second = emptyStore(rules);
        for (const auto &arrived : documents) {
            apply(first, arrived);
        }
        auto again = documents;
        again.insert(again.end(), documents.begin(), documents.end());
        for (const auto &arrived : shuffled(again)) {
            const auto before = acceptedRevision(second, arrived.key);
            apply(second, arrived, DocumentSource::Peer);
            RC_ASSERT(acceptedRevision(second, arrived.key) >= before);
        }
        RC_ASSERT(versions(first) == versions(second));
        RC_ASSERT(first.digest == second.digest);
    });
}

TEST(DocumentStore, EveryOrderOfDeliveryEndsAlikeAndNothingReverts)
{
    EXPECT_TRUE(checkOrders({}));
}

TEST(DocumentStore, TheCheckFailsWithTheRulesSwitchedOff)
{
    EXPECT_FALSE(checkOrders({false, true}));
    EXPECT_FALSE(checkOrders({true, false}));
}

TEST(DocumentStore, RejectedRevisionLeavesTheAcceptedOneInForce)
{
    auto store = emptyStore();
    EXPECT_EQ(apply(store, document(0, 2)).decision, Decision::Accepted);
    const auto rejected = apply(store, document(0, 3));
    EXPECT_EQ(rejected.decision, Decision::Rejected);
    ASSERT_EQ(rejected.entries.size(), 1U);
    EXPECT_NE(rejected.entries.front().errors.front().find("limits.concurrency: expected"), std::string::npos);
    EXPECT_EQ(acceptedRevision(store, "contracts/c0"), 2U);
    EXPECT_EQ(highestVersion(store, "contracts/c0")->revision, base::Revision(3));
    EXPECT_EQ(apply(store, document(0, 1)).decision, Decision::IgnoredStale);
    const auto next = apply(store, document(0, 4));
    ASSERT_EQ(next.entries.size(), 2U);
    EXPECT_EQ(toString(next.entries.front().diff.front()), "limits.concurrency: 2 -> 4");
    EXPECT_EQ(next.entries.back().decision, Decision::Superseded);
    EXPECT_EQ(next.entries.back().revision, base::Revision(2));
    EXPECT_FALSE(store.documents.at("contracts/c0").rejected.has_value());
}

TEST(DocumentStore, DocumentMustBeNeededAndMatchItsKey)
{
    auto store = emptyStore();
    auto wrong = document(0, 1);
    wrong.key = "contracts/c1";
    EXPECT_EQ(apply(store, wrong).decision, Decision::Rejected);
    for (const auto *key : {"services/b/s", "hosts/b", "contracts/", "contracts/../x", "other", "services/a", ""}) {
        EXPECT_EQ(apply(store, {key, base::Revision(1), "x"}).decision, Decision::NotNeeded) << key;
    }
    EXPECT_EQ(store.counters.notNeeded, 7U);
    EXPECT_EQ(apply(store, {"hosts/a", base::Revision(1), "data_centre = \"a\""}).decision, Decision::Accepted);
}

TEST(Exchange, HostsConvergeOverAnyPartitionThatHeals)
{
    EXPECT_TRUE(rc::check("partition, replaced hosts, healing", [] {
        auto hosts = std::vector<DocumentStore>(4, emptyStore());
        auto published = std::vector<Document>{};
        for (auto step = std::uint64_t{1}; step < 20; ++step) {
            published.push_back(document(*rc::gen::inRange(0U, 2U), step));
            const auto reader = *rc::gen::inRange<std::size_t>(0, 4);
            apply(hosts[reader], published[*rc::gen::inRange<std::size_t>(0, published.size())]);
            const auto replaced = *rc::gen::inRange<std::size_t>(0, 8);
            if (replaced < 2) {
                hosts[replaced] = emptyStore();
            }
            const auto side = *rc::gen::inRange<std::size_t>(0, 2) * 2;
            const auto before = acceptedRevision(hosts[side], "contracts/c0");
            pull(hosts[side], hosts[side + 1]);
            RC_ASSERT(acceptedRevision(hosts[side], "contracts/c0") >= before);
        }
        for (auto round = 0; round < 3; ++round) {
            for (auto i = std::size_t{0}; i < 4; ++i) {
                pull(hosts[i], hosts[(i + 1) % 4]);
            }
        }
        for (const auto &host : hosts) {
            RC_ASSERT(versions(host) == versions(hosts.front()));
            RC_ASSERT(host.digest == hosts.front().digest);
        }
    }));
}

TEST(Exchange, PagesAndAnswersAreBounded)
{
    auto peer = emptyStore();
    for (auto i = 0U; i < maxListedKeys + 10; ++i) {
        apply(peer, document(i, 1));
    }
    const auto page = listPage(peer, {});
    EXPECT_EQ(page.documents.size(), maxListedKeys);
    EXPECT_EQ(listPage(peer, {ExchangeScope::Everything, page.next}).documents.size(), 10U);
    EXPECT_EQ(wantedKeys(emptyStore(), page).keys.size(), maxFetchedKeys);
    auto large = emptyStore();
    auto fetch = ConfigFetch{};
    for (auto i = 0; i < 6; ++i) {
        const auto key = absl::StrCat("contracts/k", i);
        apply(large, {key, base::Revision(1), std::string(1'000'000, '#')});
        fetch.keys.push_back(key);
    }
    EXPECT_EQ(documentsFor(large, fetch).documents.size(), 4U);
}

TEST(Exchange, HostsOfDifferentDataCentresShareContractsAlone)
{
    auto store = emptyStore();
    auto peer = emptyStore();
    peer.dataCentre = base::DataCentre("b");
    apply(peer, document(0, 1));
    apply(peer, {"hosts/b", base::Revision(1), "data_centre = \"b\""});
    pull(store, peer);
    EXPECT_EQ(acceptedRevision(store, "contracts/c0"), 1U);
    EXPECT_EQ(store.documents.size(), 1U);
    EXPECT_EQ(differingScope(store, {peer.dataCentre, peer.digest, {}, {}}), std::nullopt);
}

TEST(Exchange, LimitsTheRateOfRequestsForAPersistentDifference)
{
    auto store = emptyStore();
    auto peer = emptyStore();
    apply(peer, document(0, 1));
    auto pacer = ExchangePacer{};
    const auto digest = ConfigDigest{peer.dataCentre, peer.digest, {}, {}};
    EXPECT_TRUE(shouldRequestList(pacer, store, digest, absl::UnixEpoch()));
    EXPECT_FALSE(shouldRequestList(pacer, store, digest, absl::UnixEpoch() + absl::Seconds(1)));
    EXPECT_TRUE(shouldRequestList(pacer, store, digest, absl::UnixEpoch() + absl::Seconds(6)));
}

TEST(AuditTrail, KeepsTheNewestEntriesAndWritesOneJsonObjectALine)
{
    auto trail = AuditTrail(2);
    auto store = emptyStore();
    for (const auto revision : {1U, 2U, 3U}) {
        for (auto &entry : apply(store, document(0, revision)).entries) {
            trail.add(std::move(entry));
        }
    }
    EXPECT_EQ(trail.entries().size(), 2U);
    EXPECT_EQ(trail.dropped(), 2U);
    auto entry = AuditEntry{};
    entry.when = absl::UnixEpoch();
    entry.key = "contracts/a\n\xff";
    entry.diff = {{"limits.burst", "1", "2"}};
    EXPECT_EQ(toJsonLine(entry),
              "{\"when\":\"1970-01-01T00:00:00+00:00\",\"key\":\"contracts/a\\n\xef\xbf\xbd\",\"revision\":0,\"decision\":\"accepted\",\"source\":"
              "\"platform\",\"published_by\":\"\",\"diff\":[{\"key\":\"limits.burst\",\"before\":\"1\",\"after\":\"2\"}],\"errors\":[],\"omitted\":0}");
}

} // namespace
