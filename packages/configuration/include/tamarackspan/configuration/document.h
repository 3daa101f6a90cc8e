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

/// What a published key holds.
enum class DocumentKind {
    Contract,
    Service,
    HostList,
};

/// A key of the platform, taken apart.
struct DocumentKey
{
    DocumentKind kind = DocumentKind::Contract;
    /// Empty for a contract.
    base::DataCentre dataCentre;
    /// The customer or the service; empty for a host list.
    std::string name;

    friend auto operator==(const DocumentKey &, const DocumentKey &) -> bool = default;
};

/// Reads "contracts/<customer>", "services/<data centre>/<service>" or "hosts/<data centre>"; nothing for any other text.
[[nodiscard]] auto parseDocumentKey(std::string_view text) -> std::optional<DocumentKey>;

/// True if a host of the data centre needs the document: every contract, and the services and hosts of its own data centre.
[[nodiscard]] auto isNeeded(const DocumentKey &key, const base::DataCentre &dataCentre) -> bool;

/// One published document as it travels.
struct Document
{
    std::string key;
    base::Revision revision;
    std::string text;

    friend auto operator==(const Document &, const Document &) -> bool = default;
};

/// The place of a document in the order of its key: by revision, and by the text's digest where one revision was seen with two texts, so that every host puts
/// them in the same order.
struct DocumentVersion
{
    base::Revision revision;
    std::uint64_t textDigest = 0;

    friend auto operator==(const DocumentVersion &, const DocumentVersion &) -> bool = default;
    friend auto operator<=>(const DocumentVersion &, const DocumentVersion &) = default;
};

/// Returns the version of a document.
[[nodiscard]] auto versionOf(const Document &document) -> DocumentVersion;

/// What an accepted document says.
using DocumentValue = std::variant<contracts::Contract, contracts::Service, contracts::HostList>;

/// Accepts or rejects a document. Depends on the key and the text alone: every host comes to the same outcome. A document whose names differ from its key is
/// rejected.
[[nodiscard]] auto judgeDocument(const std::string &key, std::string_view text) -> base::Result<DocumentValue, contracts::ConfigErrors>;

/// Returns who published a document; empty if unknown.
[[nodiscard]] auto publisherOf(const DocumentValue &value) -> std::string;

/// Returns the keys that differ between two values; `before` may be nullptr.
[[nodiscard]] auto diffValues(const DocumentValue *before, const DocumentValue &after) -> std::vector<contracts::Change>;

} // namespace tamarackspan::configuration
