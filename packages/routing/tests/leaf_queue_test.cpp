#include "tamarackspan/routing/leaf_queue.h"

#include "tamarackspan/base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::routing;
using contracts::Priority;

constexpr auto start = absl::UnixEpoch();
using Actions = std::vector<QueueAction>;

auto id(std::uint64_t number) -> QueueRequestId
{
    return QueueRequestId{number};
}

auto makeRequest(std::uint64_t number, Priority priority = Priority::Routine, absl::Duration deadline = absl::Seconds(1)) -> QueueRequest
{
    return {id(number), priority, start + deadline};
}

auto makeQueue(std::uint32_t slots, Actions &actions) -> LeafQueue
{
    auto queue = LeafQueue{};
    setShare(queue, {slots, 25}, start, actions);
    return queue;
}

TEST(LeafQueue, DispatchesUpToItsSlotsAndThenInOrderOfPriorityAndDeadline)
{
    auto actions = Actions{};
    auto queue = makeQueue(1, actions);
    submit(queue, makeRequest(1), start, actions);
    submit(queue, makeRequest(2, Priority::Routine, absl::Milliseconds(900)), start, actions);
    submit(queue, makeRequest(3, Priority::Urgent), start, actions);
    submit(queue, makeRequest(4, Priority::Routine, absl::Milliseconds(800)), start, actions);
    for (auto number : {1U, 3U, 4U, 2U}) {
        finished(queue, id(number), RunEnd::Answered, start, actions);
    }
    EXPECT_EQ(actions, (Actions{Dispatch{id(1)}, Dispatch{id(3)}, Dispatch{id(4)}, Dispatch{id(2)}}));
}

TEST(LeafQueue, ShedsAtOnceWhatCannotEndByItsDeadline)
{
    auto actions = Actions{};
    auto queue = makeQueue(1, actions);
    submit(queue, makeRequest(1), start, actions);
    finished(queue, id(1), RunEnd::Answered, start + absl::Milliseconds(10), actions);
    submit(queue, makeRequest(2), start, actions);
    submit(queue, makeRequest(3, Priority::Routine, absl::Milliseconds(12)), start, actions);
    EXPECT_EQ(actions.back(), QueueAction(Reject{id(3), QueueRejection::Shed}));
    submit(queue, makeRequest(4, Priority::Routine, absl::Milliseconds(20)), start, actions);
    EXPECT_EQ(queue.waiting.size(), 1U);
}

TEST(LeafQueue, CancelledWhileWaitingIsNotRunCancelledWhileRunningKeepsItsSlot)
{
    auto actions = Actions{};
    auto queue = makeQueue(1, actions);
    submit(queue, makeRequest(1), start, actions);
    submit(queue, makeRequest(2), start, actions);
    submit(queue, makeRequest(3), start, actions);
    cancel(queue, id(2), start, actions);
    cancel(queue, id(1), start, actions);
    cancel(queue, id(1), start, actions);
    EXPECT_EQ(actions, (Actions{Dispatch{id(1)}, Reject{id(2), QueueRejection::Cancelled}, CancelRunning{id(1)}}));
    finished(queue, id(1), RunEnd::Cancelled, start, actions);
    EXPECT_EQ(actions.back(), QueueAction(Dispatch{id(3)}));
}

TEST(LeafQueue, LostConnectionHoldsItsSlotUntilTheGraceTimeIsOver)
{
    auto actions = Actions{};
    auto queue = makeQueue(1, actions);
    submit(queue, makeRequest(1), start, actions);
    submit(queue, makeRequest(2, Priority::Routine, absl::Seconds(5)), start, actions);
    finished(queue, id(1), RunEnd::ConnectionLost, start, actions);
    expire(queue, start + absl::Milliseconds(1999), actions);
    EXPECT_EQ(queue.waiting.size(), 1U);
    expire(queue, nextWake(queue), actions);
    EXPECT_EQ(actions.back(), QueueAction(Dispatch{id(2)}));
}

TEST(LeafQueue, LearnsALowerLimitWhenTheLeafShedsAndNeverPassesItsShare)
{
    auto actions = Actions{};
    auto queue = makeQueue(4, actions);
    for (auto number = 1U; number <= 20; ++number) {
        submit(queue, makeRequest(number), start, actions);
    }
    finished(queue, id(1), RunEnd::Shed, start, actions);
    finished(queue, id(2), RunEnd::Shed, start, actions);
    EXPECT_EQ(concurrencyLimit(queue), 1U);
    for (auto number = 3U; number <= 20; ++number) {
        finished(queue, id(number), RunEnd::Answered, start, actions);
        EXPECT_LE(queue.running.size(), 4U);
    }
    EXPECT_GT(concurrencyLimit(queue), 1U);
}

TEST(LeafQueue, DrainAndLossOfTheShareRejectWhatWaits)
{
    auto actions = Actions{};
    auto queue = makeQueue(1, actions);
    submit(queue, makeRequest(1), start, actions);
    submit(queue, makeRequest(2), start, actions);
    drain(queue, actions);
    EXPECT_EQ(actions.back(), QueueAction(Reject{id(2), QueueRejection::Draining}));
    resume(queue);
    submit(queue, makeRequest(3), start, actions);
    setShare(queue, {}, start, actions);
    EXPECT_EQ(actions.back(), QueueAction(Reject{id(3), QueueRejection::NotOwner}));
    EXPECT_EQ(queue.running.size(), 1U);
}

constexpr auto mostSlots = std::uint32_t{3};
/// How long after its deadline a leaf may still run a request whose connection was lost.
constexpr auto leafOverrun = absl::Milliseconds(900);

/// The requests that the leaf is running; one whose connection was lost continues until its end.
struct FakeLeaf
{
    std::map<QueueRequestId, absl::Time> connected;
    std::multimap<absl::Time, QueueRequestId> lost;
};

/// Runs random events against one queue and counts violations.
struct Simulation
{
    Simulation(std::uint64_t seed, QueuePolicy policy)
        : random(seed)
    {
        this->queue.policy = policy;
        setShare(this->queue, {mostSlots, mostSlots}, this->now, this->actions);
    }

    auto step(std::uint64_t number) -> void
    {
        this->actions.clear();
        this->now += absl::Milliseconds(this->random.below(20));
        this->leaf.lost.erase(this->leaf.lost.begin(), this->leaf.lost.upper_bound(this->now));
        const auto any = this->leaf.connected.empty() || this->random.below(2) == 0 ? id(1 + this->random.below(number)) : this->leaf.connected.begin()->first;
        switch (this->random.below(6)) {
        case 0:
            cancel(this->queue, any, this->now, this->actions);
            break;
        case 1:
            setShare(this->queue, {static_cast<std::uint32_t>(this->random.below(mostSlots + 1)), mostSlots}, this->now, this->actions);
            break;
        case 2:
            this->end(any);
            break;
        case 3:
            expire(this->queue, this->now, this->actions);
            break;
        default:
            this->offer(number);
        }
        this->record();
    }

    auto end(QueueRequestId request) -> void
    {
        const auto found = this->leaf.connected.find(request);
        if (found == this->leaf.connected.end()) {
            return;
        }
        const auto lost = this->random.below(4) == 0;
        if (lost) {
            this->leaf.lost.emplace(std::max(found->second, this->now) + leafOverrun, request);
        }
        this->leaf.connected.erase(found);
        finished(this->queue, request, lost ? RunEnd::ConnectionLost : RunEnd::Answered, this->now, this->actions);
    }

    auto offer(std::uint64_t number) -> void
    {
        const auto priority = this->random.below(2) == 0 ? Priority::Urgent : Priority::Routine;
        const auto deadline = this->now + absl::Milliseconds(this->random.below(300));
        this->deadlines[id(number)] = deadline;
        submit(this->queue, {id(number), priority, deadline}, this->now, this->actions);
    }

    auto record() -> void
    {
        for (const auto &action : this->actions) {
            if (const auto *sent = std::get_if<Dispatch>(&action)) {
                this->beyondShare += this->queue.running.size() > std::min(this->queue.share.slots, this->queue.share.connections) ? 1 : 0;
                this->leaf.connected.emplace(sent->id, this->deadlines[sent->id]);
                this->answeredTwice += this->answers[sent->id]++ > 0 ? 1 : 0;
            } else if (const auto *refused = std::get_if<Reject>(&action)) {
                this->answeredTwice += this->answers[refused->id]++ > 0 ? 1 : 0;
            }
        }
        // The leaf ends requests soon after their deadline even if it received no cancellation.
        std::erase_if(this->leaf.connected, [this](const auto &entry) {
            return this->now >= entry.second + leafOverrun;
        });
        this->beyondSlots += this->leaf.connected.size() + this->leaf.lost.size() > mostSlots ? 1 : 0;
        this->inconsistent += this->queue.waiting.size() != this->queue.waitingById.size() ? 1 : 0;
    }

    base::Random random;
    Actions actions;
    LeafQueue queue;
    FakeLeaf leaf;
    absl::Time now = start;
    std::map<QueueRequestId, absl::Time> deadlines;
    std::map<QueueRequestId, int> answers;
    std::uint32_t beyondShare = 0;
    std::uint32_t beyondSlots = 0;
    std::uint32_t answeredTwice = 0;
    std::uint32_t inconsistent = 0;
};

auto simulate(std::uint64_t seed, QueuePolicy policy) -> Simulation
{
    auto simulation = Simulation{seed, policy};
    for (auto number = std::uint64_t{1}; number < 400; ++number) {
        simulation.step(number);
    }
    return simulation;
}

TEST(LeafQueue, NeverPassesItsShareAndNeverRunsWhatItRejected)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const auto simulation = simulate(seed, {});
        RC_ASSERT(simulation.beyondShare == 0U);
        RC_ASSERT(simulation.beyondSlots == 0U);
        RC_ASSERT(simulation.answeredTwice == 0U);
        RC_ASSERT(simulation.inconsistent == 0U);
    }));
}

TEST(LeafQueue, PassesTheSlotsOfTheLeafWithoutTheGraceTime)
{
    auto policy = QueuePolicy{};
    policy.slotGrace = absl::ZeroDuration();
    auto beyond = std::uint32_t{0};
    for (auto seed = std::uint64_t{0}; seed < 50; ++seed) {
        beyond += simulate(seed, policy).beyondSlots;
    }
    EXPECT_GT(beyond, 0U);
}

} // namespace
