#include "tamarackspan/configuration/cross_check.h"

#include "absl/strings/str_cat.h"

#include <set>
#include <utility>

namespace tamarackspan::configuration {

namespace {

using ServicePlaces = std::set<std::pair<base::DataCentre, base::ServiceName>>;

auto servicePlaces(const std::vector<DocumentValue> &documents) -> ServicePlaces
{
    auto places = ServicePlaces{};
    for (const auto &document : documents) {
        const auto *service = std::get_if<contracts::Service>(&document);
        if (service != nullptr && !service->removed) {
            places.emplace(service->dataCentre, service->name);
        }
    }
    return places;
}

auto checkOperation(const contracts::Contract &contract, const contracts::Operation &operation, const ServicePlaces &places,
                    std::vector<base::ConfigError> &errors) -> void
{
    for (const auto &[dataCentre, part] : contract.dataCentrePermille) {
        if (part > 0 && !places.contains({dataCentre, operation.service})) {
            errors.push_back({{absl::StrCat("contracts/", contract.customer.get()), 0, 0},
                              absl::StrCat("operations.", operation.name.get(), ".service"),
                              absl::StrCat("expected services/", dataCentre.get(), "/", operation.service.get(), " to be published, found nothing")});
        }
    }
}

} // namespace

auto findMissingServices(const std::vector<DocumentValue> &documents) -> std::vector<base::ConfigError>
{
    const auto places = servicePlaces(documents);
    auto errors = std::vector<base::ConfigError>{};
    for (const auto &document : documents) {
        const auto *contract = std::get_if<contracts::Contract>(&document);
        if (contract == nullptr) {
            continue;
        }
        for (const auto &[name, operation] : contract->operations) {
            checkOperation(*contract, operation, places, errors);
        }
    }
    return errors;
}

} // namespace tamarackspan::configuration
