#include "tamarackspan/gateway/report_deduplicator.h"

namespace tamarackspan::gateway {

auto ReportDeduplicator::recordIfNew(const std::string &key, std::uint64_t fingerprint) -> bool
{
    const auto [place, isNew] = this->fingerprints.try_emplace(key, fingerprint);
    if (!isNew && place->second == fingerprint) {
        return this->everyReport;
    }
    place->second = fingerprint;
    return true;
}

auto ReportDeduplicator::setEveryReport(bool every) -> void
{
    this->everyReport = every;
}

auto ReportDeduplicator::forget(const std::string &key) -> void
{
    this->fingerprints.erase(key);
}

auto ReportDeduplicator::clear() -> void
{
    this->fingerprints.clear();
}

} // namespace tamarackspan::gateway
