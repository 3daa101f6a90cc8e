#include "tamarackspan/testkit/load_options.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <functional>
#include <map>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(LoadOptions &, const Json &)>;

template<typename T>
auto plain(T LoadOptions::*member) -> Setter
{
    return [member](LoadOptions &options, const Json &value) {
        options.*member = value.get<T>();
    };
}

auto millis(absl::Duration LoadOptions::*member) -> Setter
{
    return [member](LoadOptions &options, const Json &value) {
        options.*member = absl::Milliseconds(value.get<double>());
    };
}

auto setMix(LoadOptions &options, const Json &value) -> void
{
    options.mix.clear();
    for (const auto &entry : value) {
        options.mix.push_back({.customer = entry.at("customer").get<std::string>(),
                               .operation = entry.at("operation").get<std::string>(),
                               .execute = entry.value("execute", false),
                               .weight = entry.value("weight", 1.0)});
    }
}

auto setters() -> const std::map<std::string, Setter> &
{
    static const auto table = std::map<std::string, Setter>{
        {"addresses", plain(&LoadOptions::addresses)},
        {"mix", &setMix},
        {"rate", plain(&LoadOptions::rate)},
        {"in_flight", plain(&LoadOptions::inFlight)},
        {"duration_ms", millis(&LoadOptions::duration)},
        {"count", plain(&LoadOptions::count)},
        {"seed", plain(&LoadOptions::seed)},
        {"deadline_ms", millis(&LoadOptions::deadline)},
        {"timeout_ms", millis(&LoadOptions::timeout)},
        {"execute_attempts", plain(&LoadOptions::executeAttempts)},
        {"routing_keys", plain(&LoadOptions::routingKeys)},
        {"caller", plain(&LoadOptions::caller)},
    };
    return table;
}

} // namespace

auto applyLoadOptions(LoadOptions &options, const Json &values) -> absl::Status
{
    auto changed = options;
    for (const auto &[key, value] : values.items()) {
        const auto setter = setters().find(key);
        if (setter == setters().end()) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": unknown key"));
        }
        try {
            setter->second(changed, value);
        } catch (const Json::exception &error) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": ", error.what()));
        }
    }
    options = std::move(changed);
    return absl::OkStatus();
}

auto parseMix(const std::string &text) -> Json
{
    const auto parts = std::vector<std::string>(absl::StrSplit(text, ':'));
    const auto name = std::pair<std::string, std::string>(absl::StrSplit(parts[0], absl::MaxSplits('/', 1)));
    auto weight = 1.0;
    if (parts.size() > 1 && !absl::SimpleAtod(parts[1], &weight)) {
        return Json();
    }
    return Json{{"customer", name.first}, {"operation", name.second}, {"weight", weight}, {"execute", parts.size() > 2 && parts[2] == "execute"}};
}

} // namespace tamarackspan::testkit
