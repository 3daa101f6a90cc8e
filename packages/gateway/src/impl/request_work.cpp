#include "impl/request_work.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::gateway::impl {

namespace {

/// Half-life of an operation's request count, used to determine which share of the requests can be served.
constexpr auto demandHalfLife = absl::Seconds(5);
/// Maximum number of services that a log line describes.
constexpr auto maxNamedSlots = std::size_t{6};

} // namespace

auto demandOf(const OperationState &state, absl::Time now) -> double
{
    return state.demand == 0.0 ? 0.0 : state.demand * std::exp2(-absl::FDivDuration(std::max(now - state.demandAt, absl::ZeroDuration()), demandHalfLife));
}

auto sentCount(const Slot &slot) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(slot.attempts, &Attempt::sent));
}

auto mayHaveRun(const Work &work) -> bool
{
    return work.mayHaveRunElsewhere || (work.forwardCall != 0 && work.forwardedAt.has_value()) || std::ranges::any_of(work.slots, [](const Slot &slot) {
               return std::ranges::any_of(slot.attempts, [](const Attempt &attempt) {
                   return attempt.sent && !attempt.notRun;
               });
           });
}

auto hasOpenAttempt(const Slot &slot) -> bool
{
    return std::ranges::any_of(slot.attempts, &Attempt::open);
}

auto describeSlots(const Work &work) -> std::string
{
    auto text = std::string();
    auto named = std::size_t{0};
    for (const auto &slot : work.slots) {
        if (slot.answered && slot.attempts.size() == 1 && work.isGather()) {
            continue;
        }
        if (++named > maxNamedSlots) {
            absl::StrAppend(&text, " ...");
            break;
        }
        absl::StrAppend(&text, text.empty() ? "" : " ", slot.service->name, slot.answered ? "=in" : slot.failed ? "=failed" : "=open");
        for (const auto &attempt : slot.attempts) {
            absl::StrAppend(&text, ",", attempt.leaf->entry.id, attempt.sent ? "" : "(unsent)", attempt.open ? "(open)" : "");
        }
    }
    return text;
}

} // namespace tamarackspan::gateway::impl
