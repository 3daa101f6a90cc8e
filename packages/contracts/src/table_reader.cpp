#include "tamarackspan/contracts/table_reader.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <arpa/inet.h>
#include <tuple>
#include <utility>

namespace tamarackspan::contracts {

namespace {

// The longest part of a string that an error message quotes.
constexpr std::size_t maxFoundBytes = 40;
constexpr std::size_t maxAddressBytes = 45;
constexpr int maxPort = 65535;
constexpr auto nameExpected = "a name of 1 to 64 letters, digits, '-', '_' and '.' that starts with a letter or digit";
constexpr auto endpointExpected = "an IP address and port, such as \"10.0.0.1:7000\"";

auto isAddressOfFamily(std::string_view text, int family) -> bool
{
    if (text.size() > maxAddressBytes || text.find('\0') != std::string_view::npos) {
        return false;
    }
    auto parsed = in6_addr{};
    return inet_pton(family, std::string(text).c_str(), &parsed) == 1;
}

/// Returns the value of a key in a table, whose entries are in ascending order of the key; nullptr if it is absent.
auto findEntry(const TomlValue::Table &table, std::string_view key) -> const TomlValue *
{
    const auto place = std::lower_bound(table.begin(), table.end(), key, [](const TomlEntry &entry, std::string_view wanted) {
        return entry.key < wanted;
    });
    return place == table.end() || place->key != key ? nullptr : &place->value;
}

auto isPort(std::string_view text) -> bool
{
    auto port = 0;
    return !text.empty() && std::all_of(text.begin(), text.end(), absl::ascii_isdigit) && text.front() != '0' && absl::SimpleAtoi(std::string(text), &port)
        && port <= maxPort;
}

} // namespace

auto isName(std::string_view text) noexcept -> bool
{
    const auto isInner = [](unsigned char character) {
        return absl::ascii_isalnum(character) || character == '-' || character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= maxNameBytes && absl::ascii_isalnum(static_cast<unsigned char>(text.front()))
        && std::all_of(text.begin(), text.end(), isInner);
}

auto isIpAddress(std::string_view text) -> bool
{
    return isAddressOfFamily(text, AF_INET) || isAddressOfFamily(text, AF_INET6);
}

auto isEndpoint(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        return isAddressOfFamily(address.substr(1, address.size() - 2), AF_INET6);
    }
    return isAddressOfFamily(address, AF_INET);
}

auto describe(const TomlValue &value) -> std::string
{
    if (const auto *text = std::get_if<std::string>(&value.content)) {
        return absl::StrCat("the text ", quoteToml(text->substr(0, maxFoundBytes)));
    }
    if (const auto *number = std::get_if<std::int64_t>(&value.content)) {
        return absl::StrCat("the number ", *number);
    }
    if (const auto *number = std::get_if<double>(&value.content)) {
        return absl::StrCat("the fraction ", *number);
    }
    if (const auto *flag = std::get_if<bool>(&value.content)) {
        return *flag ? "true" : "false";
    }
    if (std::holds_alternative<TomlValue::Array>(value.content)) {
        return "an array";
    }
    return std::holds_alternative<TomlValue::Table>(value.content) ? "a table" : "a date or time";
}

auto sortByPosition(std::vector<base::ConfigError> &errors) -> void
{
    std::stable_sort(errors.begin(), errors.end(), [](const base::ConfigError &left, const base::ConfigError &right) {
        return std::tie(left.position.line, left.position.column) < std::tie(right.position.line, right.position.column);
    });
}

TableReader::TableReader(const TomlValue &table, std::string path, std::string key, std::vector<base::ConfigError> &errors)
    : self(table),
      path(std::move(path)),
      prefix(std::move(key)),
      errors(errors)
{
}

auto TableReader::fullKey(std::string_view key) const -> std::string
{
    if (this->prefix.empty() || key.empty()) {
        return this->prefix + std::string(key);
    }
    return absl::StrCat(this->prefix, ".", std::string(key));
}

auto TableReader::has(std::string_view key) const -> bool
{
    return findEntry(std::get<TomlValue::Table>(this->self.content), key) != nullptr;
}

auto TableReader::find(std::string_view key) -> const TomlValue *
{
    this->known.emplace(key);
    return findEntry(std::get<TomlValue::Table>(this->self.content), key);
}

auto TableReader::fail(const TomlValue &value, std::string_view key, std::string message) -> void
{
    if (this->errors.size() >= maxReportedErrors) {
        return;
    }
    const auto &place = value.line == 0 ? "--set" : this->path;
    this->errors.push_back({{place, value.line, value.column}, this->fullKey(key), std::move(message)});
}

auto TableReader::failKey(std::string_view key, std::string message) -> void
{
    const auto *value = key.empty() ? nullptr : this->find(key);
    this->fail(value == nullptr ? this->self : *value, key, std::move(message));
}

auto TableReader::number(std::string_view key, NumberRange range, std::optional<std::int64_t> fallback) -> std::int64_t
{
    const auto expected = absl::StrCat("expected a whole number from ", range.min, " to ", range.max);
    const auto *value = this->find(key);
    if (value == nullptr) {
        if (!fallback) {
            this->failKey(key, absl::StrCat(expected, ", found nothing"));
        }
        return fallback.value_or(range.min);
    }
    const auto *number = std::get_if<std::int64_t>(&value->content);
    if (number == nullptr || *number < range.min || *number > range.max) {
        this->fail(*value, key, absl::StrCat(expected, ", found ", describe(*value)));
        return fallback.value_or(range.min);
    }
    return *number;
}

auto TableReader::findText(std::string_view key, std::string_view expected) -> const std::string *
{
    const auto *value = this->find(key);
    if (value == nullptr) {
        this->failKey(key, absl::StrCat("expected ", std::string(expected), ", found nothing"));
        return nullptr;
    }
    const auto *text = std::get_if<std::string>(&value->content);
    if (text == nullptr) {
        this->fail(*value, key, absl::StrCat("expected ", std::string(expected), ", found ", describe(*value)));
    }
    return text;
}

auto TableReader::text(std::string_view key, std::size_t most) -> std::string
{
    if (!this->has(key)) {
        this->known.emplace(key);
        return "";
    }
    const auto expected = absl::StrCat("a text of at most ", most, " bytes");
    const auto *text = this->findText(key, expected);
    if (text == nullptr) {
        return "";
    }
    if (text->size() > most) {
        this->failKey(key, absl::StrCat("expected ", std::string(expected), ", found ", text->size(), " bytes"));
        return "";
    }
    return *text;
}

auto TableReader::checkedText(std::string_view key, std::string_view expected, bool (*check)(std::string_view)) -> std::string
{
    const auto *text = this->findText(key, expected);
    if (text != nullptr && !check(*text)) {
        this->failKey(key, absl::StrCat("expected ", std::string(expected), ", found ", quoteToml(text->substr(0, maxFoundBytes))));
        return "";
    }
    return text == nullptr ? "" : *text;
}

auto TableReader::name(std::string_view key) -> std::string
{
    return this->checkedText(key, nameExpected, [](std::string_view text) {
        return isName(text);
    });
}

auto TableReader::address(std::string_view key) -> std::string
{
    return this->checkedText(key, "an IP address", isIpAddress);
}

auto TableReader::endpoint(std::string_view key) -> std::string
{
    return this->checkedText(key, endpointExpected, isEndpoint);
}

auto TableReader::endpoints(std::string_view key) -> std::vector<std::string>
{
    auto found = std::vector<std::string>{};
    auto seen = std::set<std::string>{};
    const auto *elements = this->array(key, false);
    if (elements == nullptr) {
        return found;
    }
    for (const auto &element : *elements) {
        const auto *text = std::get_if<std::string>(&element.content);
        if (text == nullptr || !isEndpoint(*text)) {
            this->fail(element, key, absl::StrCat("expected ", endpointExpected, ", found ", describe(element)));
        } else if (!seen.insert(*text).second) {
            this->fail(element, key, absl::StrCat("expected each address once, found ", describe(element), " again"));
        } else {
            found.push_back(*text);
        }
    }
    return found;
}

auto TableReader::flag(std::string_view key, bool fallback) -> bool
{
    const auto *value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto *flag = std::get_if<bool>(&value->content);
    if (flag == nullptr) {
        this->fail(*value, key, absl::StrCat("expected true or false, found ", describe(*value)));
    }
    return flag == nullptr ? fallback : *flag;
}

auto TableReader::choice(std::string_view key, std::initializer_list<std::string_view> choices, std::optional<std::size_t> fallback) -> std::size_t
{
    const auto expected = absl::StrCat("one of \"", absl::StrJoin(std::vector<std::string>(choices.begin(), choices.end()), "\", \""), "\"");
    if (fallback && !this->has(key)) {
        this->known.emplace(key);
        return *fallback;
    }
    const auto *text = this->findText(key, expected);
    if (text == nullptr) {
        return 0;
    }
    const auto *place = std::find(choices.begin(), choices.end(), *text);
    if (place == choices.end()) {
        this->failKey(key, absl::StrCat("expected ", std::string(expected), ", found ", quoteToml(text->substr(0, maxFoundBytes))));
        return 0;
    }
    return static_cast<std::size_t>(place - choices.begin());
}

auto TableReader::array(std::string_view key, bool required) -> const TomlValue::Array *
{
    const auto *value = this->find(key);
    if (value == nullptr) {
        if (required) {
            this->failKey(key, "expected an array, found nothing");
        }
        return nullptr;
    }
    const auto *array = std::get_if<TomlValue::Array>(&value->content);
    if (array == nullptr) {
        this->fail(*value, key, absl::StrCat("expected an array, found ", describe(*value)));
    }
    return array;
}

auto TableReader::table(std::string_view key, bool required) -> std::optional<TableReader>
{
    const auto *value = this->find(key);
    if (value == nullptr) {
        if (required) {
            this->failKey(key, "expected a table, found nothing");
        }
        return std::nullopt;
    }
    return this->nested(*value, key);
}

auto TableReader::nested(const TomlValue &value, std::string_view key) -> std::optional<TableReader>
{
    if (!std::holds_alternative<TomlValue::Table>(value.content)) {
        this->fail(value, key, absl::StrCat("expected a table, found ", describe(value)));
        return std::nullopt;
    }
    return std::optional<TableReader>(std::in_place, value, this->path, this->fullKey(key), this->errors);
}

auto TableReader::entries() -> const TomlValue::Table &
{
    const auto &table = std::get<TomlValue::Table>(this->self.content);
    for (const auto &entry : table) {
        this->known.insert(entry.key);
    }
    return table;
}

auto TableReader::rejectUnknownKeys() -> void
{
    for (const auto &entry : std::get<TomlValue::Table>(this->self.content)) {
        if (!this->known.contains(entry.key)) {
            this->fail(entry.value, entry.key, absl::StrCat("expected one of ", absl::StrJoin(this->known, ", "), "; found an unknown key"));
        }
    }
}

} // namespace tamarackspan::contracts
