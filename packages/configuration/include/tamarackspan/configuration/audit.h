#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/diff.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace tamarackspan::configuration {

/// The outcome of applying a document.
enum class Decision {
    /// It is in force.
    Accepted,
    /// It is faulty; the document in force stays in force.
    Rejected,
    /// It was in force until a newer one was accepted.
    Superseded,
    /// A newer version is already known.
    IgnoredStale,
    /// A different text of the same revision is known; on every host, the text with the greater digest takes precedence.
    Conflict,
    /// It is already held. Not recorded in the audit trail.
    AlreadyHeld,
    /// The key isn't a document key, or the document isn't needed on this host. Not recorded in the audit trail.
    NotNeeded,
};

/// Where a document came from.
enum class DocumentSource {
    Platform,
    Peer,
};

/// The most changed keys or errors that one audit entry lists.
inline constexpr std::size_t maxAuditLines = 100;

/// One line of the audit trail.
struct AuditEntry
{
    /// Wall-clock time of the host.
    absl::Time when;
    std::string key;
    base::Revision revision;
    Decision decision = Decision::Accepted;
    DocumentSource source = DocumentSource::Platform;
    std::string publishedBy;
    /// The changes from the document that was in force before; at most maxAuditLines.
    std::vector<contracts::Change> diff;
    /// The reasons for rejection; at most maxAuditLines.
    std::vector<std::string> errors;
    /// The number of changes and errors left out.
    std::size_t omitted = 0;

    friend auto operator==(const AuditEntry &, const AuditEntry &) -> bool = default;
};

/// The most recent entries of the audit trail, in the order in which they were added.
class AuditTrail
{
public:
    /// Keeps at most `capacity` entries; older ones are dropped and counted.
    explicit AuditTrail(std::size_t capacity) noexcept;

    /// Adds an entry.
    auto add(AuditEntry entry) -> void;

    /// Returns the retained entries, oldest first.
    [[nodiscard]] auto entries() const noexcept -> const std::deque<AuditEntry> &;

    /// Returns how many entries were dropped.
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t;

private:
    std::size_t capacity;
    std::deque<AuditEntry> kept;
    std::uint64_t droppedCount = 0;
};

/// Returns "accepted", "rejected", "superseded", "ignored-stale", "conflict", "already-held" or "not-needed".
[[nodiscard]] auto toString(Decision decision) -> std::string;

/// Returns "platform" or "peer".
[[nodiscard]] auto toString(DocumentSource source) -> std::string;

/// Returns an entry as one JSON object without a line break.
[[nodiscard]] auto toJsonLine(const AuditEntry &entry) -> std::string;

} // namespace tamarackspan::configuration
