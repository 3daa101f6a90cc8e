#include "tamarackspan/ctl/validate.h"

#include "tamarackspan/configuration/cross_check.h"
#include "tamarackspan/configuration/document.h"
#include "tamarackspan/configuration/host_settings.h"
#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/toml_value.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarackspan::ctl {

namespace {

using configuration::DocumentValue;
using contracts::ConfigErrors;
using contracts::TomlValue;
using Documents = std::vector<DocumentValue>;
using DocumentsByRoot = std::map<std::string, Documents>;

const auto fileEnding = std::string(".toml");

enum class TextKind {
    Unknown,
    Settings,
    Contract,
    Service,
    HostList,
};

/// A path split into folder and document key: "examples/local/platform/" and "contracts/agronomy-desk".
struct KeyedPath
{
    std::string root;
    std::string key;
};

auto hasKey(const TomlValue &value, std::string_view key) -> bool
{
    const auto &table = std::get<TomlValue::Table>(value.content);
    return std::any_of(table.begin(), table.end(), [key](const auto &entry) {
        return entry.key == key;
    });
}

auto kindOf(const TomlValue &value) -> TextKind
{
    if (hasKey(value, "host") || hasKey(value, "platform")) {
        return TextKind::Settings;
    }
    if (hasKey(value, "customer")) {
        return TextKind::Contract;
    }
    if (hasKey(value, "service")) {
        return TextKind::Service;
    }
    return hasKey(value, "hosts") || hasKey(value, "data_centre") ? TextKind::HostList : TextKind::Unknown;
}

auto splitPath(const std::string &path, std::size_t keyParts) -> std::optional<KeyedPath>
{
    if (!absl::EndsWith(path, fileEnding)) {
        return std::nullopt;
    }
    const auto parts = std::vector<std::string>(absl::StrSplit(absl::StripSuffix(path, fileEnding), '/'));
    if (parts.size() < keyParts) {
        return std::nullopt;
    }
    const auto keyBegin = parts.end() - static_cast<std::ptrdiff_t>(keyParts);
    auto key = absl::StrJoin(keyBegin, parts.end(), "/");
    auto root = path.substr(0, path.size() - fileEnding.size() - key.size());
    return KeyedPath{std::move(root), std::move(key)};
}

/// Splits the path if it ends with a platform key of that kind; otherwise nothing.
auto keyedPath(const std::string &path, configuration::DocumentKind kind) -> std::optional<KeyedPath>
{
    auto split = splitPath(path, kind == configuration::DocumentKind::Service ? 3 : 2);
    if (!split) {
        return std::nullopt;
    }
    const auto key = configuration::parseDocumentKey(split->key);
    return key && key->kind == kind ? split : std::nullopt;
}

auto withPath(ConfigErrors errors, const std::string &path) -> ConfigErrors
{
    for (auto &error : errors) {
        error.position.path = path;
    }
    return errors;
}

template<typename T>
auto asValue(base::Result<T, ConfigErrors> parsed) -> base::Result<DocumentValue, ConfigErrors>
{
    if (!parsed.ok()) {
        return parsed.error();
    }
    return DocumentValue(std::move(parsed).value());
}

auto parseAs(configuration::DocumentKind kind, const NamedText &text) -> base::Result<DocumentValue, ConfigErrors>
{
    switch (kind) {
    case configuration::DocumentKind::Contract:
        return asValue(contracts::parseContract(text.text, text.path));
    case configuration::DocumentKind::Service:
        return asValue(contracts::parseService(text.text, text.path));
    case configuration::DocumentKind::HostList:
        break;
    }
    return asValue(contracts::parseHostList(text.text, text.path));
}

auto append(ConfigErrors &errors, const ConfigErrors &more) -> void
{
    errors.insert(errors.end(), more.begin(), more.end());
}

auto validateDocument(configuration::DocumentKind kind, const NamedText &text, ConfigErrors &errors, DocumentsByRoot &documents) -> void
{
    const auto keyed = keyedPath(text.path, kind);
    auto judged = keyed ? configuration::parseDocument(keyed->key, text.text) : parseAs(kind, text);
    if (!judged.ok()) {
        append(errors, withPath(judged.error(), text.path));
    } else if (keyed) {
        documents[keyed->root].push_back(std::move(judged).value());
    }
}

auto validateText(const NamedText &text, ValidationReport &report, DocumentsByRoot &documents) -> void
{
    const auto parsed = contracts::parseToml(text.text, text.path);
    if (!parsed.ok()) {
        append(report.errors, parsed.error());
        return;
    }
    switch (kindOf(parsed.value())) {
    case TextKind::Settings:
        ++report.settings;
        if (const auto settings = configuration::parseSettings(text.text, text.path); !settings.ok()) {
            append(report.errors, settings.error());
        }
        break;
    case TextKind::Contract:
        ++report.contracts;
        validateDocument(configuration::DocumentKind::Contract, text, report.errors, documents);
        break;
    case TextKind::Service:
        ++report.services;
        validateDocument(configuration::DocumentKind::Service, text, report.errors, documents);
        break;
    case TextKind::HostList:
        ++report.hostLists;
        validateDocument(configuration::DocumentKind::HostList, text, report.errors, documents);
        break;
    case TextKind::Unknown:
        report.errors.push_back({{text.path, 1, 1}, "", "expected host settings, a contract, a service or a host list; found none of their keys"});
        break;
    }
}

} // namespace

auto validate(const std::vector<NamedText> &texts, CrossCheck crossCheck) -> ValidationReport
{
    auto report = ValidationReport();
    auto documents = DocumentsByRoot();
    for (const auto &text : texts) {
        validateText(text, report, documents);
    }
    if (crossCheck == CrossCheck::On) {
        for (const auto &[root, values] : documents) {
            for (auto error : configuration::findMissingServices(values)) {
                error.position.path = absl::StrCat(root, error.position.path, fileEnding);
                report.errors.push_back(std::move(error));
            }
        }
    }
    return report;
}

} // namespace tamarackspan::ctl
