#include "tamarackspan/testkit/leaf_behaviour.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <functional>
#include <map>
#include <sstream>
#include <toml++/toml.h>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(LeafBehaviour &, const Json &)>;

template<typename T>
auto plain(T LeafBehaviour::*member) -> Setter
{
    return [member](LeafBehaviour &behaviour, const Json &value) {
        behaviour.*member = value.get<T>();
    };
}

auto share(double LeafBehaviour::*member) -> Setter
{
    return plain(member);
}

auto micros(absl::Duration LeafBehaviour::*member) -> Setter
{
    return [member](LeafBehaviour &behaviour, const Json &value) {
        behaviour.*member = absl::Microseconds(value.get<double>());
    };
}

auto millis(absl::Duration LeafBehaviour::*member) -> Setter
{
    return [member](LeafBehaviour &behaviour, const Json &value) {
        behaviour.*member = absl::Milliseconds(value.get<double>());
    };
}

/// Returns a setter for a list; a single value is accepted as a list of one.
template<typename T>
auto listOf(T LeafBehaviour::*member) -> Setter
{
    return [member](LeafBehaviour &behaviour, const Json &value) {
        const auto list = value.is_array() ? value : Json::array({value});
        behaviour.*member = list.get<T>();
    };
}

auto setters() -> const std::map<std::string, Setter> &
{
    static const auto table = std::map<std::string, Setter>{
        {"id", plain(&LeafBehaviour::id)},
        {"slots", plain(&LeafBehaviour::slots)},
        {"shards", listOf(&LeafBehaviour::shards)},
        {"index_versions", listOf(&LeafBehaviour::indexVersions)},
        {"rows", plain(&LeafBehaviour::rowsPerShard)},
        {"seed", plain(&LeafBehaviour::seed)},
        {"mean_us", micros(&LeafBehaviour::meanServiceTime)},
        {"exponential", plain(&LeafBehaviour::exponential)},
        {"straggler_share", share(&LeafBehaviour::stragglerShare)},
        {"straggler_factor", share(&LeafBehaviour::stragglerFactor)},
        {"cold_ms", millis(&LeafBehaviour::coldPeriod)},
        {"cold_factor", share(&LeafBehaviour::coldFactor)},
        {"connect_ms", millis(&LeafBehaviour::connectDelay)},
        {"draining", plain(&LeafBehaviour::draining)},
        {"shed_share", share(&LeafBehaviour::shedShare)},
        {"fail_share", share(&LeafBehaviour::failShare)},
        {"partial_share", share(&LeafBehaviour::partialShare)},
        {"reject_share", share(&LeafBehaviour::rejectShare)},
        {"lost_share", share(&LeafBehaviour::lostShare)},
        {"silent_share", share(&LeafBehaviour::silentShare)},
        {"late_share", share(&LeafBehaviour::lateShare)},
        {"late_ms", millis(&LeafBehaviour::lateDelay)},
        {"crossed_share", share(&LeafBehaviour::crossedShare)},
        {"status", plain(&LeafBehaviour::status)},
    };
    return table;
}

auto parseScalar(const std::string &text) -> Json
{
    if (text == "true" || text == "false") {
        return text == "true";
    }
    if (auto whole = std::uint64_t{}; absl::SimpleAtoi(text, &whole)) {
        return whole;
    }
    if (auto number = double{}; absl::SimpleAtod(text, &number)) {
        return number;
    }
    return text;
}

} // namespace

auto applyBehaviour(LeafBehaviour &behaviour, const Json &change) -> absl::Status
{
    if (!change.is_object()) {
        return absl::InvalidArgumentError("expected a JSON object");
    }
    auto changed = behaviour;
    for (const auto &[key, value] : change.items()) {
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
    behaviour = std::move(changed);
    return absl::OkStatus();
}

auto parseKeyValues(const std::string &text) -> Json
{
    auto result = Json::object();
    for (const auto &part : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
        const auto pair = std::pair<std::string, std::string>(absl::StrSplit(part, absl::MaxSplits('=', 1)));
        if (!absl::StrContains(pair.second, '+')) {
            result[pair.first] = parseScalar(pair.second);
            continue;
        }
        auto list = Json::array();
        for (const auto &item : absl::StrSplit(pair.second, '+')) {
            list.push_back(parseScalar(std::string(item)));
        }
        result[pair.first] = std::move(list);
    }
    return result;
}

auto readToml(const std::string &path, Json &target) -> absl::Status
{
    try {
        auto text = std::ostringstream();
        text << toml::json_formatter(toml::parse_file(path));
        target = Json::parse(text.str());
        return absl::OkStatus();
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        return absl::InvalidArgumentError(absl::StrCat(path, ":", begin.line, ":", begin.column, ": ", std::string(error.description())));
    }
}

} // namespace tamarackspan::testkit
