#include "fleet.h"

#include <algorithm>

namespace tamarackspan::admission::testing {

namespace {

const auto customer = base::CustomerName("customer");
const auto operation = base::OperationName("operation");
constexpr auto nobody = static_cast<std::size_t>(-1);

// Returns a bucket that is full at the start and whose tokens may become negative.
auto fullBucket(const Budget &budget, absl::Time now) -> TokenBucket
{
    auto bucket = TokenBucket();
    setSchedule(bucket, {{absl::InfiniteFuture(), budget}}, now);
    bucket.tokens = budget.burst;
    return bucket;
}

} // namespace

Fleet::Fleet(FleetOptions givenOptions)
    : options(std::move(givenOptions)),
      random(options.seed),
      referenceBucket(fullBucket(options.shared, start)),
      idealBucket(fullBucket(options.shared, start))
{
    auto list = contracts::HostList();
    for (auto i = std::size_t{0}; i < this->options.hosts; ++i) {
        list.hosts.push_back({base::HostId("host" + std::to_string(100000 + this->hostsStarted++)), false});
    }
    this->publish(list);
    for (const auto &host : list.hosts) {
        this->startProcess(host.id);
    }
}

auto Fleet::run() -> FleetOutcome
{
    while (this->now < this->start + this->options.runtime) {
        if (this->now < this->start + this->options.warmUp) {
            const auto before = this->outcome;
            this->outcome = FleetOutcome();
            this->outcome.rateOvershoot = before.rateOvershoot;
            this->outcome.concurrencyOvershoot = before.concurrencyOvershoot;
        }
        this->now += this->options.step;
        if (this->options.script) {
            this->options.script(*this, this->now - this->start);
        }
        this->injectFaults();
        this->endRequests();
        // Requests come first: a process that resumes from a pause decides on them with the state from before the pause.
        this->arrivals();
        this->deliver();
        for (auto i = std::size_t{0}; i < this->processes.size(); ++i) {
            if (this->processes[i].alive && this->now >= this->processes[i].pausedUntil) {
                if (this->now >= this->processes[i].nextRead) {
                    this->processes[i].nextRead = this->now + absl::Seconds(1);
                    this->readPlatform(i);
                    this->askPeers(i);
                }
                if (this->now >= this->processes[i].nextInterval) {
                    this->processes[i].nextInterval = this->now + this->options.lending.interval;
                    this->lend(i);
                }
            }
        }
    }
    return this->outcome;
}

auto Fleet::startProcess(const base::HostId &id) -> std::size_t
{
    auto process = Process();
    process.id = id;
    process.roster = {id, this->options.roster, {}, {}};
    process.lending.self = id;
    process.lending.incarnation = base::Incarnation(this->random.next());
    process.lending.config = this->options.lending;
    process.admission = makeAdmission(this->options.admission);
    process.admission.customers[customer].bucket.startEmpty = this->options.startEmpty;
    process.nextRead = this->now + absl::Milliseconds(this->random.below(1000));
    process.nextInterval = this->now + this->options.lending.interval * this->random.unit();
    this->processes.push_back(process);
    return this->processes.size() - 1;
}

auto Fleet::publish(contracts::HostList list) -> void
{
    std::sort(list.hosts.begin(), list.hosts.end());
    this->published.push_back({this->now, list});
}

auto Fleet::pause(std::size_t process, absl::Duration duration) -> void
{
    this->processes[process].pausedUntil = this->now + duration;
}

auto Fleet::replace(std::size_t index, bool kill) -> void
{
    const auto old = this->listed(index);
    if (old != nobody && kill) {
        this->processes[old].alive = false;
    }
    auto list = this->published.back().list;
    list.hosts[index].id = base::HostId("host" + std::to_string(100000 + this->hostsStarted++));
    const auto started = this->startProcess(list.hosts[index].id);
    this->processes[started].cutFromPlatform = old != nobody && !this->splitNow && this->processes[old].cutFromPlatform;
    this->publish(list);
}

auto Fleet::restart(std::size_t index) -> void
{
    const auto old = this->listed(index);
    if (old == nobody) {
        return;
    }
    this->processes[old].alive = false;
    const auto started = this->startProcess(this->processes[old].id);
    this->processes[started].cutFromPlatform = this->processes[old].cutFromPlatform;
}

auto Fleet::cutFromPlatform(bool cut) -> void
{
    for (auto &process : this->processes) {
        process.cutFromPlatform = cut;
    }
}

auto Fleet::split(std::uint32_t sides) -> void
{
    this->splitNow = sides > 1;
    this->changedWhileSplit = false;
    for (auto &process : this->processes) {
        process.side = static_cast<std::uint32_t>(this->random.below(sides));
        process.cutFromPlatform = process.side == 1;
    }
}

auto Fleet::listed(std::size_t index) -> std::size_t
{
    return this->processOf(this->published.back().list.hosts[index].id);
}

auto Fleet::processOf(const base::HostId &id) const -> std::size_t
{
    for (auto i = this->processes.size(); i > 0; --i) {
        if (this->processes[i - 1].alive && this->processes[i - 1].id == id) {
            return i - 1;
        }
    }
    return nobody;
}

auto Fleet::injectFaults() -> void
{
    const auto happens = [this](std::uint32_t permille) {
        return permille > 0 && this->random.unit() < permille / 1000.0 * absl::ToDoubleSeconds(this->options.step);
    };
    const auto index = this->random.below(this->published.back().list.hosts.size());
    const auto process = this->listed(index);
    if (happens(this->options.pausePermille) && process != nobody) {
        this->pause(process, absl::Milliseconds(this->random.below(30000)));
    }
    // A split may hide at most one change of the list; the design note describes the effect of more.
    const auto quiet = this->now < this->quietUntil || this->changedWhileSplit;
    if (happens(this->options.replacePermille) && !quiet) {
        this->changedWhileSplit = this->splitNow;
        this->replace(index, this->random.below(2) == 0);
    }
    if (happens(this->options.restartPermille) && !this->splitNow) {
        this->restart(index);
    }
    if (happens(this->options.cutPermille) && !this->splitNow) {
        this->cutFromPlatform(this->random.below(2) == 0);
    }
    if (happens(this->options.splitPermille) && this->now >= this->quietUntil) {
        this->split(this->splitNow ? 1 : 2);
        this->quietUntil = this->now + membership::growthWindow(this->options.roster, this->options.maxRequestDuration);
    }
}

auto Fleet::send(std::size_t from, std::size_t to, Body body) -> void
{
    const auto reachable = to != nobody && this->processes[from].side == this->processes[to].side;
    if (!reachable || this->random.below(1000) < this->options.lossPermille) {
        return;
    }
    this->inFlight.emplace(this->now + this->options.maxDelay * this->random.unit(), Message{from, to, std::move(body)});
}

auto Fleet::deliver() -> void
{
    // Answers to delivered messages may themselves be due within the same step.
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
        const auto message = this->inFlight.begin()->second;
        this->inFlight.erase(this->inFlight.begin());
        const auto &to = this->processes[message.to];
        if (to.alive && this->now < to.pausedUntil) {
            this->inFlight.emplace(to.pausedUntil, message);
        } else if (to.alive) {
            this->handle(message);
        }
    }
}

auto Fleet::handle(const Message &message) -> void
{
    auto &process = this->processes[message.to];
    if (const auto *ask = std::get_if<ListAsk>(&message.body)) {
        if (!process.roster.history.empty()) {
            const auto &newest = process.roster.history.back();
            this->send(message.to, message.from, ListAnswer{{newest.revision, newest.list, {}}, this->now - newest.confirmedAt, ask->askedAt});
        }
    } else if (const auto *answer = std::get_if<ListAnswer>(&message.body)) {
        auto reading = answer->reading;
        reading.confirmedAt = answer->askedAt - answer->age;
        membership::recordList(process.roster, reading, this->now, this->options.maxRequestDuration);
        membership::recordWitness(process.roster, {this->processes[message.from].id, reading.revision, answer->askedAt}, this->now);
    } else if (const auto *budgetAsk = std::get_if<BudgetRequest>(&message.body)) {
        const auto running = process.admission.customers[customer].running;
        const auto grant = answerBudgetRequest(process.lending, *budgetAsk, running, this->now);
        this->refresh(process);
        this->send(message.to, message.from, grant);
        ++this->outcome.lendingMessages;
        return;
    } else if (const auto *grant = std::get_if<BudgetGrant>(&message.body)) {
        acceptGrant(process.lending, *grant, this->now);
        this->lend(message.to);
        return;
    } else if (const auto *giveBack = std::get_if<BudgetReturn>(&message.body)) {
        acceptReturn(process.lending, *giveBack, this->now);
    }
    this->refresh(process);
}

auto Fleet::readPlatform(std::size_t process) -> void
{
    auto &reader = this->processes[process];
    if (!reader.cutFromPlatform) {
        const auto asOf = this->now - this->options.platformLag * this->random.unit();
        auto found = std::size_t{0};
        while (found + 1 < this->published.size() && this->published[found + 1].at <= asOf) {
            ++found;
        }
        membership::recordList(reader.roster, {base::Revision(found + 1), this->published[found].list, this->now}, this->now, this->options.maxRequestDuration);
    }
    this->refresh(reader);
}

auto Fleet::askPeers(std::size_t process) -> void
{
    const auto *list = membership::newestList(this->processes[process].roster);
    const auto peers = list != nullptr ? this->processes[process].roster.history.back().witnesses : std::vector<base::HostId>();
    for (const auto &peer : peers) {
        if (peer != this->processes[process].id) {
            this->send(process, this->processOf(peer), ListAsk{this->now});
        }
    }
}

auto Fleet::refresh(Process &process) -> void
{
    const auto &shared = this->options.shared;
    auto own = ownShare(process.roster, customer, shared, this->options.maxRequestDuration, this->now);
    if (this->options.strategy == Strategy::SingleAllocator) {
        const auto whole = ownShare(process.roster, customer, {1, 1, 1}, this->options.maxRequestDuration, this->now);
        own = {{shared.rate * whole.budget.rate, shared.burst * whole.budget.burst, shared.concurrency * whole.budget.concurrency}, whole.until};
    }
    setOwnShare(process.lending, customer, own, shared, this->options.maxRequestDuration);
    setBudget(process.admission, customer, scheduleOf(process.lending, customer, this->now), this->now);
}

auto Fleet::lenders(const Process &process) const -> std::vector<base::HostId>
{
    const auto *list = membership::newestList(process.roster);
    if (list == nullptr || this->options.strategy == Strategy::StaticSplit) {
        return {};
    }
    const auto &shared = this->options.shared;
    const auto units = this->options.strategy == Strategy::SingleAllocator ? 1 : std::max({shared.rate, shared.burst, shared.concurrency});
    return membership::shareHolders(*list, units, customer.get());
}

auto Fleet::lend(std::size_t index) -> void
{
    auto &process = this->processes[index];
    expireLoans(process.lending, this->now);
    this->refresh(process);
    const auto counts = takeDemand(process.admission, customer, this->now);
    if (counts.period > absl::ZeroDuration()) {
        recordDemand(process.lending, customer, counts);
    }
    while (const auto giveBack = nextReturn(process.lending, customer, process.admission.customers[customer].running, this->now)) {
        this->refresh(process);
        this->send(index, this->processOf(giveBack->lender), giveBack->budgetReturn);
        ++this->outcome.lendingMessages;
    }
    this->refresh(process);
    if (process.lending.customers[customer].demand.rate == 0) {
        return;
    }
    const auto peers = this->lenders(process);
    while (const auto ask = nextBudgetRequest(process.lending, customer, peers, this->random.next(), this->now)) {
        this->send(index, this->processOf(ask->lender), ask->request);
        ++this->outcome.lendingMessages;
    }
}

auto Fleet::arrivals() -> void
{
    const auto hosts = this->published.back().list.hosts.size();
    for (auto i = std::size_t{0}; i < hosts; ++i) {
        const auto expected = this->options.load(i, this->now - this->start) * absl::ToDoubleSeconds(this->options.step);
        auto count =
            static_cast<std::uint64_t>(expected) + (this->random.unit() < expected - static_cast<double>(static_cast<std::uint64_t>(expected)) ? 1 : 0);
        const auto process = count > 0 ? this->listed(i) : nobody;
        for (; count > 0 && process != nobody; --count) {
            this->offerOne(process);
        }
    }
    // Callers that still know hosts which the platform has removed from the list.
    for (auto i = std::size_t{0}; i < this->processes.size(); ++i) {
        if (this->processes[i].alive && this->options.strayCallers && this->random.below(8) == 0) {
            this->offerOne(i);
        }
    }
}

auto Fleet::offerOne(std::size_t index) -> void
{
    auto &process = this->processes[index];
    if (this->now < process.pausedUntil) {
        return;
    }
    ++this->outcome.offered;
    this->outcome.possible += takeToken(this->idealBucket, this->now) ? 1 : 0;
    const auto token = RequestToken(++this->lastToken);
    const auto decision =
        offer(process.admission, {token, customer, operation, contracts::Priority::Routine, this->now + 10 * this->options.maxRequestDuration}, this->now);
    this->recordDecision(index, token, decision);
}

auto Fleet::recordDecision(std::size_t process, RequestToken token, const Decision &decision) -> void
{
    if (std::holds_alternative<Queued>(decision)) {
        return;
    }
    const auto admitted = std::holds_alternative<Admitted>(decision);
    this->checkLimits(admitted);
    if (admitted) {
        this->endings.emplace(this->now + this->options.maxRequestDuration * this->random.unit(), Ending{process, token});
    }
}

auto Fleet::checkLimits(bool admitted) -> void
{
    refill(this->referenceBucket, this->now);
    if (!admitted) {
        const auto room = this->referenceBucket.tokens >= 1 && this->endings.size() < this->options.shared.concurrency;
        this->outcome.refusedWithRoom += room ? 1 : 0;
        return;
    }
    ++this->outcome.admitted;
    this->referenceBucket.tokens -= 1;
    if (this->referenceBucket.tokens < -1e-6) {
        this->outcome.rateOvershoot = std::max(this->outcome.rateOvershoot, -this->referenceBucket.tokens);
        this->outcome.lastOvershoot = this->now - this->start;
    }
    if (this->endings.size() + 1 > this->options.shared.concurrency) {
        this->outcome.concurrencyOvershoot =
            std::max<std::uint64_t>(this->outcome.concurrencyOvershoot, this->endings.size() + 1 - this->options.shared.concurrency);
        this->outcome.lastOvershoot = this->now - this->start;
    }
}

auto Fleet::endRequests() -> void
{
    while (!this->endings.empty() && this->endings.begin()->first <= this->now) {
        this->unnoticed.push_back(this->endings.begin()->second);
        this->endings.erase(this->endings.begin());
    }
    auto kept = std::vector<Ending>();
    for (const auto &ending : this->unnoticed) {
        auto &process = this->processes[ending.process];
        if (process.alive && this->now < process.pausedUntil) {
            kept.push_back(ending);
        } else if (process.alive) {
            for (const auto &late : finished(process.admission, ending.token, this->now)) {
                this->recordDecision(ending.process, late.token, late.decision);
            }
        }
    }
    this->unnoticed = kept;
}

} // namespace tamarackspan::admission::testing
