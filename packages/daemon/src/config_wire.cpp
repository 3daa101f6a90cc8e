#include "tamarackspan/daemon/config_wire.h"

#include <limits>
#include <memory>

namespace tamarackspan::daemon {

namespace {

constexpr auto never = std::numeric_limits<std::uint64_t>::max();
/// A duration of this many microseconds or more counts as infinite.
constexpr auto infiniteMicros = std::uint64_t{1} << 62U;

auto versionFromWire(std::uint64_t revision, std::uint64_t digest) -> std::optional<configuration::DocumentVersion>
{
    if (revision == 0) {
        return std::nullopt;
    }
    return configuration::DocumentVersion{base::Revision(revision), digest};
}

auto unitsToWire(const admission::Budget &budget) -> std::unique_ptr<wire::BudgetUnitsT>
{
    auto units = std::make_unique<wire::BudgetUnitsT>();
    units->rate = budget.rate;
    units->burst = budget.burst;
    units->concurrency = budget.concurrency;
    return units;
}

auto unitsFromWire(const std::unique_ptr<wire::BudgetUnitsT> &units) -> admission::Budget
{
    return units == nullptr ? admission::Budget() : admission::Budget{units->rate, units->burst, units->concurrency};
}

} // namespace

auto toMicros(absl::Duration duration) noexcept -> std::uint64_t
{
    if (duration == absl::InfiniteDuration()) {
        return never;
    }
    return duration <= absl::ZeroDuration() ? 0 : static_cast<std::uint64_t>(absl::ToInt64Microseconds(duration));
}

auto fromMicros(std::uint64_t micros) noexcept -> absl::Duration
{
    return micros >= infiniteMicros ? absl::InfiniteDuration() : absl::Microseconds(static_cast<std::int64_t>(micros));
}

auto toWire(const configuration::ConfigDigest &digest) -> wire::ConfigDigestT
{
    auto result = wire::ConfigDigestT();
    result.dataCentre = digest.dataCentre.get();
    result.contractsDigest = digest.digest.contracts;
    result.localDigest = digest.digest.local;
    result.platformRevision = digest.platformRevision.get();
    for (const auto &age : digest.confirmed) {
        result.confirmedAgeMicros.push_back(age ? toMicros(*age) : never);
    }
    return result;
}

auto fromWire(const wire::ConfigDigestT &digest) -> configuration::ConfigDigest
{
    auto result = configuration::ConfigDigest();
    result.dataCentre = base::DataCentre(digest.dataCentre);
    result.digest = {digest.contractsDigest, digest.localDigest};
    result.platformRevision = base::Revision(digest.platformRevision);
    for (auto i = std::size_t{0}; i < result.confirmed.size() && i < digest.confirmedAgeMicros.size(); ++i) {
        const auto age = fromMicros(digest.confirmedAgeMicros[i]);
        if (age < absl::InfiniteDuration()) {
            result.confirmed[i] = age;
        }
    }
    return result;
}

auto toWire(const configuration::ConfigListRequest &request) -> wire::ConfigListRequestT
{
    auto result = wire::ConfigListRequestT();
    result.contractsOnly = request.scope == configuration::ExchangeScope::Contracts;
    result.after = request.after;
    return result;
}

auto fromWire(const wire::ConfigListRequestT &request) -> configuration::ConfigListRequest
{
    return {request.contractsOnly ? configuration::ExchangeScope::Contracts : configuration::ExchangeScope::Everything, request.after};
}

auto toWire(const configuration::ConfigList &list) -> wire::ConfigListT
{
    auto result = wire::ConfigListT();
    result.next = list.next;
    for (const auto &document : list.documents) {
        auto entry = std::make_unique<wire::ListedVersionsT>();
        entry->key = document.key;
        if (document.accepted) {
            entry->acceptedRevision = document.accepted->revision.get();
            entry->acceptedDigest = document.accepted->textDigest;
        }
        if (document.rejected) {
            entry->rejectedRevision = document.rejected->revision.get();
            entry->rejectedDigest = document.rejected->textDigest;
        }
        result.documents.push_back(std::move(entry));
    }
    return result;
}

auto fromWire(const wire::ConfigListT &list) -> configuration::ConfigList
{
    auto result = configuration::ConfigList();
    result.next = list.next;
    for (const auto &entry : list.documents) {
        result.documents.push_back(
            {entry->key, versionFromWire(entry->acceptedRevision, entry->acceptedDigest), versionFromWire(entry->rejectedRevision, entry->rejectedDigest)});
    }
    return result;
}

auto toWire(const configuration::ConfigFetch &fetch) -> wire::ConfigFetchT
{
    auto result = wire::ConfigFetchT();
    result.keys = fetch.keys;
    return result;
}

auto fromWire(const wire::ConfigFetchT &fetch) -> configuration::ConfigFetch
{
    return {fetch.keys};
}

auto toWire(const configuration::ConfigDocuments &documents) -> wire::ConfigDocumentsT
{
    auto result = wire::ConfigDocumentsT();
    for (const auto &document : documents.documents) {
        auto entry = std::make_unique<wire::ConfigDocumentT>();
        entry->key = document.key;
        entry->revision = document.revision.get();
        entry->text = document.text;
        result.documents.push_back(std::move(entry));
    }
    return result;
}

auto fromWire(const wire::ConfigDocumentsT &documents) -> configuration::ConfigDocuments
{
    auto result = configuration::ConfigDocuments();
    for (const auto &entry : documents.documents) {
        result.documents.push_back({entry->key, base::Revision(entry->revision), entry->text});
    }
    return result;
}

auto toWire(const admission::BudgetRequest &request) -> wire::BudgetAskT
{
    auto result = wire::BudgetAskT();
    result.id = request.id.get();
    result.borrower = request.borrower.get();
    result.borrowerIncarnation = request.borrowerIncarnation.get();
    result.customer = request.customer.get();
    result.wanted = unitsToWire(request.wanted);
    result.renews = request.renews.get();
    return result;
}

auto fromWire(const wire::BudgetAskT &request) -> admission::BudgetRequest
{
    auto result = admission::BudgetRequest();
    result.id = admission::BudgetRequestId(request.id);
    result.borrower = base::HostId(request.borrower);
    result.borrowerIncarnation = base::Incarnation(request.borrowerIncarnation);
    result.customer = base::CustomerName(request.customer);
    result.wanted = unitsFromWire(request.wanted);
    result.renews = admission::BudgetRequestId(request.renews);
    return result;
}

auto toWire(const admission::BudgetGrant &grant) -> wire::BudgetGrantT
{
    auto result = wire::BudgetGrantT();
    result.id = grant.id.get();
    result.lender = grant.lender.get();
    result.lenderIncarnation = grant.lenderIncarnation.get();
    result.borrowerIncarnation = grant.borrowerIncarnation.get();
    result.customer = grant.customer.get();
    result.granted = unitsToWire(grant.granted);
    result.durationMicros = toMicros(grant.duration);
    result.spare = unitsToWire(grant.spare);
    return result;
}

auto fromWire(const wire::BudgetGrantT &grant) -> admission::BudgetGrant
{
    auto result = admission::BudgetGrant();
    result.id = admission::BudgetRequestId(grant.id);
    result.lender = base::HostId(grant.lender);
    result.lenderIncarnation = base::Incarnation(grant.lenderIncarnation);
    result.borrowerIncarnation = base::Incarnation(grant.borrowerIncarnation);
    result.customer = base::CustomerName(grant.customer);
    result.granted = unitsFromWire(grant.granted);
    result.duration = fromMicros(grant.durationMicros);
    result.spare = unitsFromWire(grant.spare);
    return result;
}

auto toWire(const admission::BudgetReturn &budgetReturn) -> wire::BudgetReturnT
{
    auto result = wire::BudgetReturnT();
    result.id = budgetReturn.id.get();
    result.borrowerIncarnation = budgetReturn.borrowerIncarnation.get();
    result.lenderIncarnation = budgetReturn.lenderIncarnation.get();
    result.customer = budgetReturn.customer.get();
    return result;
}

auto fromWire(const wire::BudgetReturnT &budgetReturn) -> admission::BudgetReturn
{
    return {admission::BudgetRequestId(budgetReturn.id), base::Incarnation(budgetReturn.borrowerIncarnation), base::Incarnation(budgetReturn.lenderIncarnation),
            base::CustomerName(budgetReturn.customer)};
}

} // namespace tamarackspan::daemon
