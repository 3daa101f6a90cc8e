#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/diff.h"
#include "tamarackspan/contracts/parse.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarackspan::configuration {

/// The kinds of published documents.
enum class DocumentKind {
    Contract,
    Service,
    HostList,
};

/// A parsed document key of the platform.
struct DocumentKey
{
    DocumentKind kind = DocumentKind::Contract;
    /// Empty for a contract.
    base::DataCentre dataCentre;
    /// The customer or the service; empty for a host list.
    std::string name;

    friend auto operator==(const DocumentKey &, const DocumentKey &) -> bool = default;
};

/// Parses "contracts/<customer>", "services/<data centre>/<service>" or "hosts/<data centre>"; returns nothing for any other text.
[[nodiscard]] auto parseDocumentKey(std::string_view text) -> std::optional<DocumentKey>;

/// Returns whether a host of the data centre needs the document: all contracts, and the services and host list of its own data centre.
[[nodiscard]] auto isNeeded(const DocumentKey &key, const base::DataCentre &dataCentre) -> bool;

/// One published document as sent between platform and hosts.
struct Document
{
    std::string key;
    base::Revision revision;
    std::string text;

    friend auto operator==(const Document &, const Document &) -> bool = default;
};

/// The position of a document in the order of versions of its key: by revision, then by the digest of the text, so that all hosts order two texts of the same
/// revision alike.
struct DocumentVersion
{
    base::Revision revision;
    std::uint64_t textDigest = 0;

    friend auto operator==(const DocumentVersion &, const DocumentVersion &) -> bool = default;
    friend auto operator<=>(const DocumentVersion &, const DocumentVersion &) = default;
};

/// Returns the version of a document.
[[nodiscard]] auto versionOf(const Document &document) -> DocumentVersion;

/// The parsed contents of an accepted document.
using DocumentValue = std::variant<contracts::Contract, contracts::Service, contracts::HostList>;

/// Parses and validates a document. The result depends only on the key and the text, so every host gets the same. A document whose names differ from its key is
/// rejected.
[[nodiscard]] auto parseDocument(const std::string &key, std::string_view text) -> base::Result<DocumentValue, contracts::ConfigErrors>;

/// Returns who published a document; empty if unknown.
[[nodiscard]] auto publisherOf(const DocumentValue &value) -> std::string;

/// Returns the keys that differ between two values. `before` may be null.
[[nodiscard]] auto diffValues(const DocumentValue *before, const DocumentValue &after) -> std::vector<contracts::Change>;

} // namespace tamarackspan::configuration
