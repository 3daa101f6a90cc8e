#include "tamarackspan/daemon/status_report.h"

#include "tamarackspan/admission/budget.h"
#include "tamarackspan/base/clock.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace tamarackspan::daemon {

namespace {

using Json = nlohmann::ordered_json;

auto budgetJson(const admission::Budget &budget) -> Json
{
    return {{"requests_per_second", budget.rate}, {"burst", budget.burst}, {"concurrency", budget.concurrency}};
}

auto ageMillis(absl::Time when) -> Json
{
    return when == absl::InfinitePast() ? Json(nullptr) : Json(absl::ToInt64Milliseconds(base::monotonicNow() - when));
}

auto errorJson(const std::string &message) -> Json
{
    return {{"error", message}};
}

auto hostListJson(const Control &control) -> Json
{
    auto hosts = Json::array();
    const auto &state = control.hostListState();
    if (const auto *list = membership::newestList(state)) {
        for (const auto &host : list->hosts) {
            hosts.push_back({{"host", host.id.get()}, {"leaving", host.leaving}});
        }
    }
    return {
        {"revision", membership::newestRevision(state).get()}, {"confirmed_ms_ago", ageMillis(membership::confirmedAt(state))}, {"hosts", std::move(hosts)}};
}

auto ownerJson(const routing::OwnerShare &share) -> Json
{
    return {{"host", share.host.get()}, {"slots", share.slots}, {"connections", share.connections}};
}

} // namespace

auto statusJson(Control &control) -> Json
{
    const auto &settings = control.settings();
    const auto freshness = control.freshness();
    auto status = Json();
    status["host"] = settings.host.innerAddress.get();
    status["data_centre"] = settings.host.dataCentre.get();
    status["ready"] = control.isReady();
    status["draining"] = control.isDraining();
    status["configuration"] = {{"documents", control.documents().documents.size()},
                               {"generation", control.documents().generation},
                               {"freshness", configuration::toString(freshness.level)},
                               {"confirmed_ms_ago", freshness.confirmedAgo ? Json(absl::ToInt64Milliseconds(*freshness.confirmedAgo)) : Json(nullptr)},
                               {"rejected", control.documents().counters.rejected},
                               {"stale", control.documents().counters.stale}};
    status["platform"] = {{"calls", control.platformCalls()}, {"answered_ms_ago", ageMillis(control.platformLastAnswer())}};
    status["host_list"] = hostListJson(control);
    status["control_links"] = control.openLinks();
    return status;
}

auto configurationJson(const Control &control) -> Json
{
    auto documents = Json::array();
    for (const auto &[key, stored] : control.documents().documents) {
        auto entry = Json{{"key", key}};
        entry["accepted_revision"] = stored.accepted ? Json(stored.accepted->version.revision.get()) : Json(nullptr);
        if (stored.rejected) {
            auto errors = Json::array();
            for (const auto &error : stored.rejected->errors) {
                errors.push_back(base::toString(error));
            }
            entry["rejected_revision"] = stored.rejected->version.revision.get();
            entry["errors"] = std::move(errors);
        }
        documents.push_back(std::move(entry));
    }
    return {{"documents", std::move(documents)}};
}

auto costsJson(const Control &control) -> Json
{
    auto reports = Json::array();
    for (const auto &report : control.costReports()) {
        auto rows = Json::array();
        for (const auto &[key, counters] : report.table) {
            rows.push_back({{"customer", key.customer.get()},
                            {"operation", key.operation.get()},
                            {"requests", counters.requests},
                            {"first_leaf_requests", counters.firstLeafRequests},
                            {"hedges", counters.hedges},
                            {"retries", counters.retries},
                            {"cancelled", counters.cancelled},
                            {"leaf_micros", counters.leafMicros}});
        }
        reports.push_back(
            {{"incarnation", absl::StrCat(absl::Hex(report.incarnation.get()))}, {"age_ms", absl::ToInt64Milliseconds(report.age)}, {"rows", std::move(rows)}});
    }
    return {{"reports", std::move(reports)}};
}

auto auditJson(const Control &control) -> Json
{
    auto entries = Json::array();
    for (const auto &entry : control.auditTrail().entries()) {
        entries.push_back(Json::parse(configuration::toJsonLine(entry), nullptr, false));
    }
    return {{"dropped", control.auditTrail().dropped()}, {"entries", std::move(entries)}};
}

auto explainCustomerJson(const Control &control, const std::string &customer) -> Json
{
    const auto name = base::CustomerName(customer);
    const auto known = control.currentView()->contracts.find(name);
    if (known == control.currentView()->contracts.end()) {
        return errorJson("no contract for customer \"" + customer + "\" is in force on this host");
    }
    const auto &contract = *known->second;
    const auto &dataCentre = control.settings().host.dataCentre;
    auto result = Json();
    result["customer"] = customer;
    result["contract"] = {
        {"requests_per_second", contract.limits.requestsPerSecond}, {"burst", contract.limits.burst}, {"concurrency", contract.limits.concurrency}};
    result["data_centre"] = dataCentre.get();
    result["data_centre_part"] = budgetJson(admission::dataCentreBudget(contract, dataCentre));
    result["own_part"] = budgetJson(control.budgets().ownShareOf(name));
    result["in_force_now"] = budgetJson(control.budgets().budgetOf(name, base::monotonicNow()));
    auto operations = Json::array();
    for (const auto &[operation, value] : contract.operations) {
        operations.push_back({{"operation", operation.get()},
                              {"service", value.service.get()},
                              {"deadline_ms", absl::ToInt64Milliseconds(value.deadline)},
                              {"service_known", control.currentView()->services.contains(value.service)}});
    }
    result["operations"] = std::move(operations);
    return result;
}

auto explainLeafJson(const Control &control, const std::string &service, const std::string &leaf) -> Json
{
    const auto entry = control.currentView()->services.find(base::ServiceName(service));
    if (entry == control.currentView()->services.end()) {
        return errorJson("service \"" + service + "\" isn't in force in this data centre");
    }
    const auto &published = entry->second.view->service;
    const auto id = base::LeafId(leaf);
    if (!published.leafs.contains(id)) {
        return errorJson("service \"" + service + "\" has no leaf \"" + leaf + "\"");
    }
    auto owners = Json::array();
    const auto known = entry->second.owners->find(id);
    if (known != entry->second.owners->end()) {
        std::transform(known->second.begin(), known->second.end(), std::back_inserter(owners), ownerJson);
    }
    const auto &view = *control.currentView();
    const auto share = routing::currentShare(published, id, control.settings().host.innerAddress, view.hostViews, base::monotonicNow(), view.shareWindow);
    auto result = Json();
    result["service"] = service;
    result["leaf"] = leaf;
    result["map_generation"] = entry->second.view->generation.get();
    result["slots"] = published.leafs.at(id).slots;
    result["connections"] = published.leafs.at(id).connections;
    result["leaving"] = published.leafs.at(id).leaving;
    result["owners"] = std::move(owners);
    result["share_of_this_host"] = {{"slots", share.slots}, {"connections", share.connections}};
    return result;
}

} // namespace tamarackspan::daemon
