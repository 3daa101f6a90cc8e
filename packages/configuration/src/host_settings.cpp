#include "tamarackspan/configuration/host_settings.h"

#include "tamarackspan/contracts/table_reader.h"
#include "tamarackspan/contracts/toml_value.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>

namespace tamarackspan::configuration {

namespace {

using contracts::TableReader;
using contracts::TomlValue;

using ConfigErrors = std::vector<base::ConfigError>;

constexpr std::int64_t maxTrafficThreads = 256;
constexpr std::size_t maxFilePathBytes = 4096;
constexpr contracts::NumberRange durationMsRange{1, 3'600'000};

auto readHost(TableReader &reader) -> HostIdentity
{
    auto host = HostIdentity{};
    host.dataCentre = base::DataCentre(reader.name("data_centre"));
    host.innerAddress = base::HostId(reader.endpoint("inner_address"));
    host.callerAddress = reader.endpoint("caller_address");
    host.adminAddress = reader.endpoint("admin_address");
    auto addresses = std::set<std::string>{};
    for (const auto &[key, address] : {std::pair{"inner_address", host.innerAddress.get()}, std::pair{"caller_address", host.callerAddress},
                                       std::pair{"admin_address", host.adminAddress}}) {
        if (!address.empty() && !addresses.insert(address).second) {
            reader.failKey(key, absl::StrCat("expected an address that no other key has, found \"", address, "\" again"));
        }
    }
    host.trafficThreads = static_cast<std::uint32_t>(reader.number("traffic_threads", {1, maxTrafficThreads}, host.trafficThreads));
    reader.rejectUnknownKeys();
    return host;
}

auto readDuration(TableReader &reader, std::string_view key, absl::Duration fallback) -> absl::Duration
{
    return absl::Milliseconds(reader.number(key, durationMsRange, absl::ToInt64Milliseconds(fallback)));
}

auto readTiming(TableReader &reader) -> Timing
{
    auto timing = Timing{};
    timing.lease = readDuration(reader, "lease_ms", timing.lease);
    timing.hostListLag = readDuration(reader, "host_list_lag_ms", timing.hostListLag);
    timing.heartbeat = readDuration(reader, "heartbeat_ms", timing.heartbeat);
    timing.drainWait = readDuration(reader, "drain_wait_ms", timing.drainWait);
    timing.peerTimeout = readDuration(reader, "peer_timeout_ms", timing.peerTimeout);
    timing.platformWait = readDuration(reader, "platform_wait_ms", timing.platformWait);
    timing.platformTimeout = readDuration(reader, "platform_timeout_ms", timing.platformTimeout);
    timing.startWait = readDuration(reader, "start_wait_ms", timing.startWait);
    timing.costReport = readDuration(reader, "cost_report_ms", timing.costReport);
    timing.ticketLife = readDuration(reader, "ticket_life_ms", timing.ticketLife);
    if (timing.heartbeat * 2 > timing.peerTimeout) {
        reader.failKey("heartbeat_ms", "expected at most half of peer_timeout_ms, so that one lost heartbeat doesn't make a peer unreachable");
    }
    if (timing.heartbeat * 2 > timing.lease) {
        reader.failKey("heartbeat_ms", "expected at most half of lease_ms, so that a lease is renewed before it ends");
    }
    reader.rejectUnknownKeys();
    return timing;
}

auto readLog(TableReader &reader) -> LogSettings
{
    auto log = LogSettings{};
    log.level = static_cast<LogLevel>(reader.choice("level", {"debug", "info", "warning", "error"}, static_cast<std::size_t>(log.level)));
    log.format = static_cast<LogFormat>(reader.choice("format", {"text", "json"}, static_cast<std::size_t>(log.format)));
    log.file = reader.text("file", maxFilePathBytes);
    reader.rejectUnknownKeys();
    return log;
}

auto readAddresses(TableReader &reader, std::string_view table, bool required) -> std::vector<std::string>
{
    auto section = reader.table(table, required);
    if (!section) {
        return {};
    }
    const auto *elements = required ? section->array("addresses", true) : nullptr;
    if (elements != nullptr && elements->empty()) {
        section->failKey("addresses", "expected at least one IP address and port, found none");
    }
    auto addresses = elements == nullptr && required ? std::vector<std::string>{} : section->endpoints("addresses");
    section->rejectUnknownKeys();
    return addresses;
}

auto readSettings(TableReader &reader) -> HostSettings
{
    auto settings = HostSettings{};
    if (auto table = reader.table("host", true)) {
        settings.host = readHost(*table);
    }
    settings.platformAddresses = readAddresses(reader, "platform", true);
    settings.peerAddresses = readAddresses(reader, "peers", false);
    if (auto table = reader.table("timing", false)) {
        settings.timing = readTiming(*table);
    }
    if (auto table = reader.table("log", false)) {
        settings.log = readLog(*table);
    }
    if (auto table = reader.table("audit", false)) {
        settings.auditFile = table->text("file", maxFilePathBytes);
        table->rejectUnknownKeys();
    }
    reader.rejectUnknownKeys();
    return settings;
}

/// Clears the positions, which marks the value as given on the command line.
auto clearPosition(TomlValue &value) -> void
{
    value.line = 0;
    value.column = 0;
    if (auto *array = std::get_if<TomlValue::Array>(&value.content)) {
        for (auto &element : *array) {
            clearPosition(element);
        }
    }
}

/// Parses the value of an override as TOML, or returns the text itself as a string if it isn't TOML.
auto overrideValue(const std::string &text) -> TomlValue
{
    auto value = TomlValue{0, 0, text};
    const auto parsed = contracts::parseToml("value = " + text, "");
    if (parsed.ok()) {
        const auto &table = std::get<TomlValue::Table>(parsed.value().content);
        if (table.size() == 1) {
            value = table.front().value;
        }
    }
    clearPosition(value);
    return value;
}

/// Returns the value of a key, and adds an empty table under it if the key is missing.
auto findOrAddValue(TomlValue::Table &table, const std::string &key) -> TomlValue &
{
    auto place = std::lower_bound(table.begin(), table.end(), key, [](const contracts::TomlEntry &entry, const std::string &wanted) {
        return entry.key < wanted;
    });
    if (place == table.end() || place->key != key) {
        place = table.insert(place, {key, TomlValue{0, 0, TomlValue::Table{}}});
    }
    return place->value;
}

auto applyOverride(TomlValue &root, const std::string &text, ConfigErrors &errors) -> void
{
    const auto equals = text.find('=');
    const auto dot = text.find('.');
    if (equals == std::string::npos || dot == std::string::npos || dot == 0 || dot + 1 >= equals) {
        errors.push_back({{"--set", 0, 0}, "", absl::StrCat("expected table.key=value, found ", contracts::quoteToml(text))});
        return;
    }
    auto &section = findOrAddValue(std::get<TomlValue::Table>(root.content), text.substr(0, dot));
    if (auto *table = std::get_if<TomlValue::Table>(&section.content)) {
        findOrAddValue(*table, text.substr(dot + 1, equals - dot - 1)) = overrideValue(text.substr(equals + 1));
    }
}

} // namespace

auto parseSettings(std::string_view text, std::string path, const std::vector<std::string> &overrides)
    -> base::Result<HostSettings, std::vector<base::ConfigError>>
{
    const auto parsed = contracts::parseToml(text, path);
    if (!parsed.ok()) {
        return parsed.error();
    }
    auto errors = ConfigErrors{};
    auto root = parsed.value();
    for (const auto &override : overrides) {
        applyOverride(root, override, errors);
    }
    auto reader = TableReader(root, std::move(path), "", errors);
    auto settings = readSettings(reader);
    if (!errors.empty()) {
        contracts::sortByPosition(errors);
        return errors;
    }
    return settings;
}

} // namespace tamarackspan::configuration
