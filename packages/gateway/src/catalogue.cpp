#include "tamarackspan/gateway/catalogue.h"

#include <algorithm>

namespace tamarackspan::gateway {

auto servicesNamed(const Catalogue &catalogue) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &operation : catalogue.operations) {
        names.insert(names.end(), operation.shards.begin(), operation.shards.end());
        for (const auto &share : operation.services) {
            names.push_back(share.service);
        }
    }
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

CatalogueIndex::CatalogueIndex(const Catalogue &catalogue)
{
    for (const auto &operation : catalogue.operations) {
        this->byHost[operation.hostName].push_back(&operation);
    }
    for (auto &[host, operations] : this->byHost) {
        std::ranges::stable_sort(operations, std::greater{}, [](const Operation *operation) {
            return operation->prefix.size();
        });
    }
}

auto CatalogueIndex::find(const std::string &hostName, std::string_view path) const -> const Operation *
{
    const auto found = this->byHost.find(hostName);
    if (found == this->byHost.end()) {
        return nullptr;
    }
    const auto match = std::ranges::find_if(found->second, [path](const Operation *operation) {
        return path.starts_with(operation->prefix);
    });
    return match == found->second.end() ? nullptr : *match;
}

} // namespace tamarackspan::gateway
