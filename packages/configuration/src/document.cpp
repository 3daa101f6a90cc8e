#include "tamarackspan/configuration/document.h"

#include "tamarackspan/base/random.h"
#include "tamarackspan/contracts/table_reader.h"

#include "absl/strings/str_cat.h"

namespace tamarackspan::configuration {

namespace {

using ParsedDocument = base::Result<DocumentValue, contracts::ConfigErrors>;

auto namesOf(const contracts::Contract &contract) -> DocumentKey
{
    return {DocumentKind::Contract, base::DataCentre(), contract.customer.get()};
}

auto namesOf(const contracts::Service &service) -> DocumentKey
{
    return {DocumentKind::Service, service.dataCentre, service.name.get()};
}

auto namesOf(const contracts::HostList &list) -> DocumentKey
{
    return {DocumentKind::HostList, list.dataCentre, ""};
}

template<typename T>
auto checkNames(const std::string &key, const DocumentKey &names, base::Result<T, contracts::ConfigErrors> parsed) -> ParsedDocument
{
    if (!parsed.ok()) {
        return parsed.error();
    }
    if (namesOf(parsed.value()) != names) {
        return contracts::ConfigErrors{{{key, 1, 1}, "", "expected the names that the document's key holds"}};
    }
    return DocumentValue(std::move(parsed).value());
}

auto startsWith(std::string_view text, std::string_view prefix, std::string_view &rest) -> bool
{
    if (!text.starts_with(prefix)) {
        return false;
    }
    rest = text.substr(prefix.size());
    return true;
}

} // namespace

auto parseDocumentKey(std::string_view text) -> std::optional<DocumentKey>
{
    auto rest = std::string_view();
    if (startsWith(text, "contracts/", rest) && contracts::isName(rest)) {
        return DocumentKey{DocumentKind::Contract, base::DataCentre(), std::string(rest)};
    }
    if (startsWith(text, "hosts/", rest) && contracts::isName(rest)) {
        return DocumentKey{DocumentKind::HostList, base::DataCentre(std::string(rest)), ""};
    }
    if (startsWith(text, "services/", rest)) {
        const auto slash = rest.find('/');
        if (slash != std::string_view::npos && contracts::isName(rest.substr(0, slash)) && contracts::isName(rest.substr(slash + 1))) {
            return DocumentKey{DocumentKind::Service, base::DataCentre(std::string(rest.substr(0, slash))), std::string(rest.substr(slash + 1))};
        }
    }
    return std::nullopt;
}

auto isNeeded(const DocumentKey &key, const base::DataCentre &dataCentre) -> bool
{
    return key.kind == DocumentKind::Contract || key.dataCentre == dataCentre;
}

auto versionOf(const Document &document) -> DocumentVersion
{
    return {document.revision, base::stableHash(document.text.data(), document.text.size())};
}

auto parseDocument(const std::string &key, std::string_view text) -> ParsedDocument
{
    const auto names = parseDocumentKey(key);
    if (!names) {
        return contracts::ConfigErrors{{{key, 0, 0}, "", "expected a key under contracts/, services/ or hosts/"}};
    }
    switch (names->kind) {
    case DocumentKind::Contract:
        return checkNames(key, *names, contracts::parseContract(text, key));
    case DocumentKind::Service:
        return checkNames(key, *names, contracts::parseService(text, key));
    default:
        return checkNames(key, *names, contracts::parseHostList(text, key));
    }
}

auto publisherOf(const DocumentValue &value) -> std::string
{
    if (const auto *contract = std::get_if<contracts::Contract>(&value)) {
        return contract->publishedBy;
    }
    const auto *service = std::get_if<contracts::Service>(&value);
    return service == nullptr ? "" : service->publishedBy;
}

auto diffValues(const DocumentValue *before, const DocumentValue &after) -> std::vector<contracts::Change>
{
    return std::visit(
        [before](const auto &newer) {
            using Value = std::decay_t<decltype(newer)>;
            const auto *older = before == nullptr ? nullptr : std::get_if<Value>(before);
            return contracts::diff(older == nullptr ? Value{} : *older, newer);
        },
        after);
}

} // namespace tamarackspan::configuration
