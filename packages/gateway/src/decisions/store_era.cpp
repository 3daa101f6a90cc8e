#include "tamarackspan/gateway/decisions/store_era.h"

#include <algorithm>

namespace tamarackspan::gateway {

auto judgeAnswer(StoreEra &state, std::optional<std::uint64_t> stated, absl::Time now, const EraSettings &settings) -> EraVerdict
{
    if (!state.known.has_value()) {
        state.known = stated.value_or(0);
        return EraVerdict::Accept;
    }
    const auto era = stated.value_or(*state.known);
    state.lowerSince = era < *state.known ? std::min(state.lowerSince, now) : absl::InfiniteFuture();
    if (state.heard.has_value() && era < *state.heard) {
        return EraVerdict::Unconfirmed;
    }
    if (era > *state.known) {
        state.known = era;
        state.changedAt = now;
        state.heard.reset();
        return EraVerdict::Later;
    }
    if (era == *state.known) {
        return EraVerdict::Accept;
    }
    if (now - state.lowerSince < settings.replacedAfter) {
        return EraVerdict::Lower;
    }
    state = {.known = era, .changedAt = now, .distrustUntil = now + settings.distrust};
    return EraVerdict::Replaced;
}

auto noteHeardEra(StoreEra &state, std::uint64_t stated, absl::Time now) -> bool
{
    // A host that hasn't had an answer yet has nothing that the answer could roll back.
    if (!state.known.has_value() || stated <= *state.known || now < state.distrustUntil) {
        return false;
    }
    if (state.heard.has_value()) {
        // The time stays that of the first one, so that ever greater eras don't prolong it.
        state.heard = std::max(*state.heard, stated);
        return false;
    }
    state.heard = stated;
    state.heardAt = now;
    return true;
}

auto forgetUnconfirmed(StoreEra &state, absl::Time now, const EraSettings &settings) -> bool
{
    if (!state.heard.has_value() || now - state.heardAt < settings.heardValidity) {
        return false;
    }
    state.heard.reset();
    state.distrustUntil = now + settings.distrust;
    return true;
}

auto entryCounts(const LeafEntry &known, bool removed, const LeafEntry *seen, const LeafEntry &entry) -> bool
{
    const auto sameProcess = [&entry](const LeafEntry &other) {
        return other.startedAt == entry.startedAt && other.service == entry.service && other.endpoint == entry.endpoint;
    };
    // The known sequence of a removed leaf may be older than the copy's: reports that change nothing else aren't recorded.
    if (entry.startedAt > known.startedAt || (!removed && sameProcess(known) && entry.sequence > known.sequence)) {
        return true;
    }
    return seen != nullptr && seen->era == entry.era && seen->revision < entry.revision && (entry.sequence > seen->sequence || !sameProcess(*seen));
}

} // namespace tamarackspan::gateway
