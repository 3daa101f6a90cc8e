#include "tamarackspan/routing/leaf_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tamarackspan::routing {

namespace {

/// The weight of a new sample in the learned service time.
constexpr auto serviceTimeGain = 0.1;

auto capOf(const LeafQueue &queue) noexcept -> std::uint32_t
{
    return std::min(queue.share.slots, queue.share.connections);
}

/// True if the request, started after `wait`, is not expected to complete by its deadline.
auto missesDeadline(const LeafQueue &queue, const QueueRequest &request, absl::Duration wait, absl::Time now) -> bool
{
    if (now >= request.deadline) {
        return true;
    }
    return queue.policy.shedEarly && now + wait + queue.serviceTime > request.deadline;
}

/// The slots whose requests are expected to end in the usual time, and when the first of the other slots is released at the latest.
struct SlotForecast
{
    std::uint32_t responsive = 0;
    absl::Time firstBlockedFree = absl::InfiniteFuture();
};

auto forecastSlots(const LeafQueue &queue) -> SlotForecast
{
    auto forecast = SlotForecast{concurrencyLimit(queue), absl::InfiniteFuture()};
    for (const auto &[id, request] : queue.running) {
        if (request.connectionLost || request.cancelled) {
            forecast.responsive -= forecast.responsive > 0 ? 1 : 0;
            forecast.firstBlockedFree = std::min(forecast.firstBlockedFree, request.slotFreeAt);
        }
    }
    return forecast;
}

auto expectedWait(const LeafQueue &queue, const QueueRequest &request, absl::Time now) -> absl::Duration
{
    if (queue.running.size() < concurrencyLimit(queue)) {
        return absl::ZeroDuration();
    }
    const auto forecast = forecastSlots(queue);
    if (forecast.responsive == 0) {
        return forecast.firstBlockedFree - now;
    }
    const auto ahead = std::distance(queue.waiting.begin(), queue.waiting.lower_bound(request));
    return queue.serviceTime * (static_cast<double>(ahead) + 0.5) / forecast.responsive;
}

auto removeWaiting(LeafQueue &queue, const QueueRequest &request) -> void
{
    queue.waiting.erase(request);
    queue.waitingById.erase(request.id);
}

auto lateRejection(const QueueRequest &request, absl::Time now) -> Reject
{
    return {request.id, now >= request.deadline ? QueueRejection::DeadlinePassed : QueueRejection::Shed};
}

auto dispatchNext(LeafQueue &queue, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    while (!queue.waiting.empty() && queue.running.size() < concurrencyLimit(queue)) {
        const auto request = *queue.waiting.begin();
        removeWaiting(queue, request);
        if (missesDeadline(queue, request, absl::ZeroDuration(), now)) {
            actions.emplace_back(lateRejection(request, now));
            continue;
        }
        queue.running.emplace(request.id, RunningRequest{now, request.deadline, request.deadline + queue.policy.slotGrace});
        actions.emplace_back(Dispatch{request.id});
    }
}

auto rejectAll(LeafQueue &queue, QueueRejection reason, std::vector<QueueAction> &actions) -> void
{
    for (const auto &request : queue.waiting) {
        actions.emplace_back(Reject{request.id, reason});
    }
    queue.waiting.clear();
    queue.waitingById.clear();
}

auto learnServiceTime(LeafQueue &queue, absl::Duration sample) -> void
{
    queue.serviceTime = queue.serviceTime == absl::ZeroDuration() ? sample : queue.serviceTime + (sample - queue.serviceTime) * serviceTimeGain;
}

auto adaptLimit(LeafQueue &queue, RunEnd end, bool saturated) -> void
{
    if (end == RunEnd::Shed) {
        queue.limit = std::max(1.0, queue.limit * queue.policy.shedBackoff);
    } else if (end == RunEnd::Answered && saturated && queue.limit > 0) {
        queue.limit += 1 / queue.limit;
    }
    queue.limit = std::min(queue.limit, static_cast<double>(capOf(queue)));
}

/// Rejects the request that would be served last if the queue is too long.
auto trim(LeafQueue &queue, std::vector<QueueAction> &actions) -> void
{
    if (queue.waiting.size() > queue.policy.maxQueued) {
        const auto last = *queue.waiting.rbegin();
        removeWaiting(queue, last);
        actions.emplace_back(Reject{last.id, QueueRejection::Shed});
    }
}

} // namespace

auto ServiceOrder::operator()(const QueueRequest &a, const QueueRequest &b) const -> bool
{
    return std::tie(a.priority, a.deadline, a.id) < std::tie(b.priority, b.deadline, b.id);
}

auto concurrencyLimit(const LeafQueue &queue) noexcept -> std::uint32_t
{
    return capOf(queue) == 0 ? 0 : std::clamp(static_cast<std::uint32_t>(queue.limit), 1U, capOf(queue));
}

auto submit(LeafQueue &queue, const QueueRequest &request, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    if (queue.draining) {
        actions.emplace_back(Reject{request.id, QueueRejection::Draining});
        return;
    }
    if (capOf(queue) == 0) {
        actions.emplace_back(Reject{request.id, QueueRejection::NotOwner});
        return;
    }
    if (missesDeadline(queue, request, expectedWait(queue, request, now), now)) {
        actions.emplace_back(lateRejection(request, now));
        return;
    }
    queue.waiting.insert(request);
    queue.waitingById.emplace(request.id, request);
    dispatchNext(queue, now, actions);
    trim(queue, actions);
}

auto finished(LeafQueue &queue, QueueRequestId id, RunEnd end, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    const auto found = queue.running.find(id);
    if (found == queue.running.end()) {
        return;
    }
    auto &request = found->second;
    if (end == RunEnd::ConnectionLost) {
        request.connectionLost = true;
        request.slotFreeAt = std::max(request.slotFreeAt, now + queue.policy.slotGrace);
        return;
    }
    const auto saturated = queue.running.size() >= concurrencyLimit(queue);
    if (end == RunEnd::Answered) {
        learnServiceTime(queue, now - request.sentAt);
    }
    queue.running.erase(found);
    adaptLimit(queue, end, saturated);
    if (end == RunEnd::Draining) {
        drain(queue, actions);
    }
    dispatchNext(queue, now, actions);
}

auto cancel(LeafQueue &queue, QueueRequestId id, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    if (const auto found = queue.waitingById.find(id); found != queue.waitingById.end()) {
        const auto request = found->second;
        removeWaiting(queue, request);
        actions.emplace_back(Reject{id, QueueRejection::Cancelled});
        return;
    }
    const auto found = queue.running.find(id);
    if (found != queue.running.end() && !found->second.cancelled) {
        found->second.cancelled = true;
        found->second.slotFreeAt = std::max(found->second.slotFreeAt, now + queue.policy.slotGrace);
        actions.emplace_back(CancelRunning{id});
    }
}

auto expire(LeafQueue &queue, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    for (auto entry = queue.waiting.begin(); entry != queue.waiting.end();) {
        if (now < entry->deadline) {
            ++entry;
            continue;
        }
        actions.emplace_back(Reject{entry->id, QueueRejection::DeadlinePassed});
        queue.waitingById.erase(entry->id);
        entry = queue.waiting.erase(entry);
    }
    for (auto &[id, request] : queue.running) {
        if (now >= request.deadline && !request.cancelled) {
            request.cancelled = true;
            actions.emplace_back(CancelRunning{id});
        }
    }
    absl::erase_if(queue.running, [now](const auto &entry) {
        return now >= entry.second.slotFreeAt;
    });
    dispatchNext(queue, now, actions);
}

auto setShare(LeafQueue &queue, LeafShare share, absl::Time now, std::vector<QueueAction> &actions) -> void
{
    const auto grew = std::min(share.slots, share.connections) > capOf(queue);
    queue.share = share;
    const auto cap = static_cast<double>(capOf(queue));
    queue.limit = grew ? cap : std::min(queue.limit, cap);
    if (capOf(queue) == 0) {
        rejectAll(queue, QueueRejection::NotOwner, actions);
        return;
    }
    dispatchNext(queue, now, actions);
}

auto drain(LeafQueue &queue, std::vector<QueueAction> &actions) -> void
{
    queue.draining = true;
    rejectAll(queue, QueueRejection::Draining, actions);
}

auto resume(LeafQueue &queue) -> void
{
    queue.draining = false;
}

auto nextWake(const LeafQueue &queue) -> absl::Time
{
    auto wake = absl::InfiniteFuture();
    for (const auto &request : queue.waiting) {
        wake = std::min(wake, request.deadline);
    }
    for (const auto &[id, request] : queue.running) {
        wake = std::min(wake, request.cancelled ? request.slotFreeAt : std::min(request.deadline, request.slotFreeAt));
    }
    return wake;
}

} // namespace tamarackspan::routing
