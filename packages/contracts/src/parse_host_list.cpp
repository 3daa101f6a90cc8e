#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/table_reader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>

namespace tamarackspan::contracts {

namespace {

auto readHosts(TableReader &reader) -> std::vector<ListedHost>
{
    auto hosts = std::vector<ListedHost>{};
    auto seen = std::set<std::string>{};
    const auto *elements = reader.array("hosts", false);
    if (elements == nullptr) {
        return hosts;
    }
    for (auto index = std::size_t{0}; index < elements->size(); ++index) {
        auto table = reader.nested((*elements)[index], absl::StrCat("hosts[", index, "]"));
        if (!table) {
            continue;
        }
        auto id = table->endpoint("id");
        if (!id.empty() && !seen.insert(id).second) {
            table->failKey("id", absl::StrCat("expected each host once, found ", quoteToml(id), " again"));
        }
        hosts.push_back({base::HostId(std::move(id)), table->flag("leaving", false)});
        table->rejectUnknownKeys();
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

} // namespace

auto parseHostList(std::string_view text, std::string path) -> base::Result<HostList, ConfigErrors>
{
    const auto root = parseToml(text, path);
    if (!root.ok()) {
        return root.error();
    }
    auto errors = ConfigErrors{};
    auto reader = TableReader(root.value(), std::move(path), "", errors);
    auto list = HostList{};
    list.dataCentre = base::DataCentre(reader.name("data_centre"));
    list.hosts = readHosts(reader);
    reader.rejectUnknownKeys();
    if (!errors.empty()) {
        sortByPosition(errors);
        return errors;
    }
    return list;
}

} // namespace tamarackspan::contracts
