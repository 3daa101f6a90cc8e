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

/// What became of a document.
enum class Decision {
    /// It is in force.
    Accepted,
    /// It is faulty; what was in force stays so.
    Rejected,
    /// It was in force until a newer one was accepted.
    Superseded,
    /// A newer one is known already.
    IgnoredStale,
    /// Another text of the same revision is known; the one with the greater digest counts on every host.
    Conflict,
    /// It is known already. Not part of the audit trail.
    AlreadyHeld,
    /// The key is none of the system's, or not one that this host needs. Not part of the audit trail.
    NotNeeded,
};

/// Where a document came from.
enum class DocumentSource {
    Platform,
    Peer,
};

/// The most changed keys or faults that one entry of the audit trail names.
inline constexpr std::size_t maxAuditLines = 100;

/// One line of the audit trail.
struct AuditEntry
{
    /// Wall clock of the host.
    absl::Time when;
    std::string key;
    base::Revision revision;
    Decision decision = Decision::Accepted;
    DocumentSource source = DocumentSource::Platform;
    std::string publishedBy;
    /// What changed against the document that was in force, at most maxAuditLines.
    std::vector<contracts::Change> diff;
    /// Why it was rejected, at most maxAuditLines.
    std::vector<std::string> errors;
    /// Changes and faults left out.
    std::size_t omitted = 0;

    friend auto operator==(const AuditEntry &, const AuditEntry &) -> bool = default;
};

/// The last entries of the audit trail, in the order in which they were added.
class AuditTrail
{
public:
    /// Keeps at most so many entries; older ones are dropped and counted.
    explicit AuditTrail(std::size_t capacity) noexcept;

    /// Adds an entry.
    auto add(AuditEntry entry) -> void;

    /// Returns the entries kept, oldest first.
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
