#include "tamarackspan/configuration/audit.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace tamarackspan::configuration {

AuditTrail::AuditTrail(std::size_t capacity) noexcept
    : capacity(capacity)
{
}

auto AuditTrail::add(AuditEntry entry) -> void
{
    this->kept.push_back(std::move(entry));
    while (this->kept.size() > this->capacity) {
        this->kept.pop_front();
        ++this->droppedCount;
    }
}

auto AuditTrail::entries() const noexcept -> const std::deque<AuditEntry> &
{
    return this->kept;
}

auto AuditTrail::dropped() const noexcept -> std::uint64_t
{
    return this->droppedCount;
}

auto toString(Decision decision) -> std::string
{
    switch (decision) {
    case Decision::Accepted:
        return "accepted";
    case Decision::Rejected:
        return "rejected";
    case Decision::Superseded:
        return "superseded";
    case Decision::IgnoredStale:
        return "ignored-stale";
    case Decision::Conflict:
        return "conflict";
    case Decision::AlreadyHeld:
        return "already-held";
    case Decision::NotNeeded:
        return "not-needed";
    }
    return "unknown";
}

auto toString(DocumentSource source) -> std::string
{
    return source == DocumentSource::Platform ? "platform" : "peer";
}

auto toJsonLine(const AuditEntry &entry) -> std::string
{
    auto json = nlohmann::ordered_json{
        {"when", absl::FormatTime(absl::RFC3339_full, entry.when, absl::UTCTimeZone())},
        {"key", entry.key},
        {"revision", entry.revision.get()},
        {"decision", toString(entry.decision)},
        {"source", toString(entry.source)},
        {"published_by", entry.publishedBy},
    };
    json["diff"] = nlohmann::ordered_json::array();
    for (const auto &change : entry.diff) {
        json["diff"].push_back({{"key", change.key}, {"before", change.before}, {"after", change.after}});
    }
    json["errors"] = entry.errors;
    json["omitted"] = entry.omitted;
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace tamarackspan::configuration
