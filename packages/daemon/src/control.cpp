#include "tamarackspan/daemon/control.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/config_wire.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/membership/overlay.h"

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("control");

constexpr auto auditCapacity = std::size_t{1000};
constexpr auto fastInterval = absl::Milliseconds(50);
constexpr auto helloTimeout = absl::Seconds(5);
/// Limit on the digests whose answers are awaited; older ones are dropped.
constexpr auto maxPendingDigests = std::size_t{4096};
/// The fraction of the lease for which a watch of the host list waits.
constexpr auto hostListWaitFraction = 0.3;
constexpr auto hostListPrefix = std::size_t{2};

auto readPlanSettings(const configuration::HostSettings &settings) -> configuration::ReadPlanSettings
{
    auto result = configuration::ReadPlanSettings();
    result.watchWait = settings.timing.platformWait;
    result.callTimeout = settings.timing.platformTimeout;
    result.startWait = settings.timing.startWait;
    return result;
}

auto linkTiming(const configuration::HostSettings &settings) -> transport::LinkTiming
{
    return {settings.timing.heartbeat, settings.timing.peerTimeout, settings.timing.heartbeat / 2};
}

auto lendingConfig(const configuration::HostSettings &settings) -> admission::LendingConfig
{
    auto config = admission::LendingConfig();
    config.loanDuration = std::min(config.loanDuration, settings.timing.lease);
    config.requestTimeout = std::min(config.requestTimeout, config.loanDuration / 2);
    return config;
}

/// A new owner has no share until the window has passed: drops owners that an earlier list doesn't name, unless none would be left.
auto keepEarlierOwners(routing::OwnershipMap &owners, const routing::OwnershipMap &earlier) -> void
{
    for (auto &[leaf, shares] : owners) {
        const auto before = earlier.find(leaf);
        if (before == earlier.end()) {
            continue;
        }
        auto kept = std::vector<routing::OwnerShare>();
        std::copy_if(shares.begin(), shares.end(), std::back_inserter(kept), [&before](const routing::OwnerShare &share) {
            return std::any_of(before->second.begin(), before->second.end(), [&share](const routing::OwnerShare &old) {
                return old.host == share.host;
            });
        });
        if (!kept.empty()) {
            shares = std::move(kept);
        }
    }
}

} // namespace

Control::Control(transport::EventLoop &loop, const configuration::HostSettings &settings, HostIdentity identity, Lease &lease, AdmissionGate &gate,
                 const Accounting &accounting, ControlOutputs outputs)
    : loop(loop),
      hostSettings(settings),
      identity(std::move(identity)),
      lease(lease),
      outputs(std::move(outputs)),
      trail(auditCapacity),
      plan(configuration::makeReadPlan(readPlanSettings(settings), this->identity.dataCentre, this->identity.incarnation.get(), base::monotonicNow())),
      links(loop, {this->identity.host, this->identity.incarnation, this->identity.dataCentre, wire::Channel::Control}, linkTiming(settings),
            {[this](const transport::LinkPtr &link, wire::MessageT message) {
                 this->onMessage(link, std::move(message));
             },
             [](const transport::LinkPtr &, std::string_view) {},
             {}}),
      reader(loop, {settings.platformAddresses, settings.timing.lease * hostListWaitFraction}, this->plan, this->store,
             {[this](const configuration::Document &document) {
                  this->applyDocument(document, configuration::DocumentSource::Platform);
              },
              [this](absl::Time issuedAt) {
                  this->onHostListConfirmed(issuedAt);
              }}),
      budgetKeeper(this->identity, lendingConfig(settings), this->roster, gate,
                   {[this](const base::HostId &host, const admission::BudgetRequest &budgetRequest) {
                        this->sendTo(host, toWire(budgetRequest));
                    },
                    [this](const base::HostId &host, const admission::BudgetGrant &grant) {
                        this->sendTo(host, toWire(grant));
                    },
                    [this](const base::HostId &host, const admission::BudgetReturn &budgetReturn) {
                        this->sendTo(host, toWire(budgetReturn));
                    }}),
      costKeeper(this->identity.host, accounting,
                 [this](const base::HostId &host, const wire::CostReportT &report) {
                     this->sendTo(host, report);
                 }),
      view(std::make_shared<const ControlView>()),
      startedAt(base::monotonicNow())
{
    this->store.dataCentre = this->identity.dataCentre;
    this->roster.self = this->identity.host;
    this->roster.config.lease = settings.timing.lease;
    this->roster.config.maxListLag = settings.timing.hostListLag;
    if (!settings.auditFile.empty()) {
        this->auditFile.open(settings.auditFile, std::ios::app);
        if (!this->auditFile) {
            logger.error("audit file can't be opened", {{"file", settings.auditFile}});
        }
    }
}

Control::~Control() = default;

auto Control::start(int listenFd) -> void
{
    this->acceptor =
        std::make_unique<transport::Acceptor>(this->loop, listenFd, helloTimeout,
                                              transport::Acceptor::Handlers{[this](transport::FrameConnection::Detached detached, wire::HelloT hello) {
                                                                                if (hello.channel == wire::Channel::Control) {
                                                                                    this->links.adopt(std::move(detached), hello);
                                                                                } else {
                                                                                    this->outputs.onTrafficPeer(std::move(detached), std::move(hello));
                                                                                }
                                                                            },
                                                                            [](std::string_view reason) {
                                                                                logger.warning("inner connection refused", {{"why", reason}});
                                                                            }});
    this->updateWatchingHosts();
    this->tickFast();
    this->tickExchange();
    this->tickBudgets();
    this->tickCosts();
}

auto Control::startDraining() -> void
{
    this->draining = true;
    this->links.setDraining(true);
    this->updateAcceptsLeafRequests(base::monotonicNow());
}

auto Control::transferCostReports() -> void
{
    this->costKeeper.transferReports(this->listedHosts(), base::monotonicNow());
}

auto Control::isReady() -> bool
{
    const auto now = base::monotonicNow();
    return !this->draining && configuration::mayServe(this->plan, this->store, now) && this->ownShareHeld;
}

auto Control::holdsOwnShare(absl::Time now) const -> bool
{
    const auto *list = membership::newestList(this->roster);
    if (list == nullptr) {
        return false;
    }
    const auto listed = std::any_of(list->hosts.begin(), list->hosts.end(), [this](const auto &host) {
        return host.id == this->identity.host;
    });
    if (!listed) {
        // An unlisted host has only borrowed budget. After the growth window, the hosts that it borrows from have had time to learn of it.
        return now >= this->startedAt + membership::growthWindow(this->roster.config, this->budgetKeeper.longestRequestDuration());
    }
    return this->budgetKeeper.holdsOwnShare(now);
}

auto Control::leafSharesInForce(absl::Time now) const -> bool
{
    return this->lease.isInForce(now) && !this->hostViews.empty() && this->hostViews.front().since + this->view->shareWindow <= now;
}

auto Control::updateAcceptsLeafRequests(absl::Time now) -> void
{
    const auto accepts = !this->draining && this->leafSharesInForce(now);
    if (std::exchange(this->acceptsLeafRequests, accepts) != accepts) {
        this->outputs.onAcceptsLeafRequests(accepts);
    }
}

auto Control::settings() const -> const configuration::HostSettings &
{
    return this->hostSettings;
}

auto Control::documents() const -> const configuration::DocumentStore &
{
    return this->store;
}

auto Control::auditTrail() const -> const configuration::AuditTrail &
{
    return this->trail;
}

auto Control::hostListState() const -> const membership::RosterState &
{
    return this->roster;
}

auto Control::costReports() const -> std::vector<costs::CostReport>
{
    return this->costKeeper.reports(base::monotonicNow());
}

auto Control::budgets() const -> const BudgetKeeper &
{
    return this->budgetKeeper;
}

auto Control::freshness() const -> configuration::ConfigurationFreshness
{
    return configuration::freshness(this->plan, base::monotonicNow());
}

auto Control::platformCalls() const -> std::uint64_t
{
    return this->reader.calls();
}

auto Control::platformLastAnswer() const -> absl::Time
{
    return this->reader.lastAnswer();
}

auto Control::currentView() const -> const ControlViewPtr &
{
    return this->view;
}

auto Control::openLinks() const -> std::size_t
{
    return this->links.openLinks();
}

auto Control::isDraining() const -> bool
{
    return this->draining;
}

template<typename T>
auto Control::sendTo(const base::HostId &host, const T &message) -> void
{
    if (const auto link = this->links.linkTo(host)) {
        link->send(wire::encode(message));
    }
}

auto Control::onMessage(const transport::LinkPtr &link, wire::MessageT message) -> void
{
    const auto now = base::monotonicNow();
    if (const auto *digest = message.body.AsConfigDigest()) {
        this->onDigest(link, *digest);
    } else if (const auto *request = message.body.AsConfigListRequest()) {
        link->send(wire::encode(toWire(configuration::listPage(this->store, fromWire(*request)))));
    } else if (const auto *list = message.body.AsConfigList()) {
        this->onList(link, fromWire(*list));
    } else if (const auto *fetch = message.body.AsConfigFetch()) {
        link->send(wire::encode(toWire(configuration::documentsFor(this->store, fromWire(*fetch)))));
    } else if (const auto *documents = message.body.AsConfigDocuments()) {
        this->onDocuments(fromWire(*documents));
    } else if (const auto *budgetRequest = message.body.AsBudgetAsk()) {
        this->budgetKeeper.onRequest(fromWire(*budgetRequest), now);
    } else if (const auto *grant = message.body.AsBudgetGrant()) {
        this->budgetKeeper.onGrant(fromWire(*grant), now);
    } else if (const auto *budgetReturn = message.body.AsBudgetReturn()) {
        this->budgetKeeper.onReturn(fromWire(*budgetReturn), now);
    } else if (const auto *report = message.body.AsCostReport()) {
        this->costKeeper.onReport(*report, now);
    }
}

auto Control::sendDigest(const transport::LinkPtr &link, std::uint64_t number, bool isAnswer) -> void
{
    auto digest = toWire(configuration::makeDigest(this->plan, this->store, base::monotonicNow()));
    digest.number = number;
    digest.isAnswer = isAnswer;
    digest.hostListRevision = membership::newestRevision(this->roster).get();
    // For the host list, send the confirmation age that the lease is computed from.
    const auto confirmedAt = membership::confirmedAt(this->roster);
    digest.confirmedAgeMicros[hostListPrefix] = toMicros(base::monotonicNow() - confirmedAt);
    link->send(wire::encode(digest));
}

auto Control::onDigest(const transport::LinkPtr &link, const wire::ConfigDigestT &digest) -> void
{
    const auto now = base::monotonicNow();
    if (const auto contact = this->peerContacts.find(link->host()); contact != this->peerContacts.end()) {
        contact->second.lastReceivedAt = now;
    }
    const auto peer = fromWire(digest);
    const auto scope = configuration::differingScope(this->store, peer);
    // Two hosts that both hold no documents confirm nothing to each other.
    const auto agrees = !scope.has_value() && !this->store.documents.empty();
    configuration::onPeerDigest(this->plan, peer, agrees, now);
    if (scope && configuration::shouldRequestList(this->pacers[link->host()], this->store, peer, now)) {
        link->send(wire::encode(toWire(configuration::ConfigListRequest{*scope, {}})));
    }
    if (digest.isAnswer) {
        this->onDigestAnswer(link, digest);
    } else {
        this->sendDigest(link, digest.number, true);
    }
}

auto Control::onDigestAnswer(const transport::LinkPtr &link, const wire::ConfigDigestT &digest) -> void
{
    const auto sentDigest = this->digestSentAt.find(digest.number);
    if (sentDigest == this->digestSentAt.end() || base::DataCentre(digest.dataCentre) != this->identity.dataCentre) {
        return;
    }
    const auto sentAt = sentDigest->second;
    const auto revision = base::Revision(digest.hostListRevision);
    membership::recordWitness(this->roster, {link->host(), revision, sentAt}, base::monotonicNow());
    const auto age = digest.confirmedAgeMicros.size() > hostListPrefix ? fromMicros(digest.confirmedAgeMicros[hostListPrefix]) : absl::InfiniteDuration();
    const auto held = configuration::highestVersion(this->store, this->hostListKey());
    const auto ownAge = base::monotonicNow() - membership::confirmedAt(this->roster);
    if (held && revision == held->revision && age < this->roster.config.lease) {
        this->recordHostList(sentAt - age);
    } else if (held && held->revision > membership::newestRevision(this->roster) && ownAge > this->roster.config.lease) {
        // No peer could confirm the newer list: use it as unconfirmed, with no share until witnesses have confirmed it for the whole window.
        this->recordHostList(absl::InfinitePast());
    }
    this->renewLease();
    this->publishIfChanged();
}

auto Control::onList(const transport::LinkPtr &link, const configuration::ConfigList &list) -> void
{
    const auto wanted = configuration::wantedKeys(this->store, list);
    if (!wanted.keys.empty()) {
        link->send(wire::encode(toWire(wanted)));
    }
    if (!list.next.empty()) {
        link->send(wire::encode(toWire(configuration::ConfigListRequest{configuration::ExchangeScope::Everything, list.next})));
    }
}

auto Control::onDocuments(const configuration::ConfigDocuments &documents) -> void
{
    for (const auto &document : documents.documents) {
        this->applyDocument(document, configuration::DocumentSource::Peer);
    }
    this->publishIfChanged();
}

auto Control::applyDocument(const configuration::Document &document, configuration::DocumentSource source) -> void
{
    const auto result = configuration::applyDocument(this->store, document, source, absl::Now());
    this->audit(result.entries);
}

auto Control::audit(const std::vector<configuration::AuditEntry> &entries) -> void
{
    for (const auto &entry : entries) {
        if (this->auditFile.is_open()) {
            this->auditFile << configuration::toJsonLine(entry) << std::endl;
        }
        const auto why = absl::StrJoin(entry.errors, "; ");
        logger.info("document " + configuration::toString(entry.decision),
                    {{"key", entry.key},
                     {"revision", entry.revision.get()},
                     {"source", configuration::toString(entry.source)},
                     {"published_by", entry.publishedBy},
                     {"changes", entry.diff.size()},
                     {"why", why}});
        this->trail.add(entry);
    }
}

auto Control::onHostListConfirmed(absl::Time confirmedAt) -> void
{
    this->recordHostList(confirmedAt);
    this->renewLease();
    this->publishIfChanged();
}

auto Control::hostListKey() const -> std::string
{
    return "hosts/" + this->identity.dataCentre.get();
}

auto Control::recordHostList(absl::Time confirmedAt) -> void
{
    const auto held = this->store.documents.find(this->hostListKey());
    if (held == this->store.documents.end() || !held->second.accepted) {
        return;
    }
    const auto &accepted = *held->second.accepted;
    if (const auto *list = std::get_if<contracts::HostList>(accepted.value.get())) {
        const auto before = membership::newestRevision(this->roster);
        membership::recordList(this->roster, {accepted.version.revision, *list, confirmedAt}, base::monotonicNow(),
                               this->budgetKeeper.longestRequestDuration());
        if (membership::newestRevision(this->roster) != before) {
            this->updateWatchingHosts();
            this->republishAt = base::monotonicNow();
        }
    }
}

auto Control::renewLease() -> void
{
    const auto confirmedAt = membership::confirmedAt(this->roster);
    this->lease.setUntil(confirmedAt == absl::InfinitePast() ? absl::UnixEpoch() : confirmedAt + this->roster.config.lease, base::monotonicNow());
}

auto Control::isUnresponsive(const base::HostId &host, absl::Time now) const -> bool
{
    const auto peer = this->peerContacts.find(host);
    const auto timeout = 2 * this->hostSettings.timing.peerTimeout;
    return peer != this->peerContacts.end() && now - std::max(peer->second.firstDigestSentAt, peer->second.lastReceivedAt) > timeout;
}

auto Control::updateWatchingHosts() -> void
{
    const auto now = base::monotonicNow();
    auto hosts = this->listedHosts();
    std::erase_if(hosts, [this, now](const base::HostId &host) {
        return host != this->identity.host && this->isUnresponsive(host, now);
    });
    if (hosts.empty()) {
        hosts.push_back(this->identity.host);
    }
    if (hosts != this->watchingHosts) {
        this->watchingHosts = hosts;
        configuration::setHosts(this->plan, hosts, this->identity.host);
        this->reader.poll();
    }
}

auto Control::digestPeers() const -> std::vector<base::HostId>
{
    auto peers = std::set<base::HostId>();
    for (const auto &address : this->hostSettings.peerAddresses) {
        peers.emplace(address);
    }
    if (const auto *list = membership::newestList(this->roster)) {
        const auto overlay = membership::overlayPeers(*list, this->identity.host);
        peers.insert(overlay.begin(), overlay.end());
        const auto age = base::monotonicNow() - membership::confirmedAt(this->roster);
        if (age > this->roster.config.lease / 2) {
            const auto witnesses = membership::witnesses(*list);
            peers.insert(witnesses.begin(), witnesses.end());
        }
    }
    peers.erase(this->identity.host);
    return {peers.begin(), peers.end()};
}

auto Control::sendDigests() -> void
{
    if (this->digestSentAt.size() > maxPendingDigests) {
        this->digestSentAt.clear();
    }
    const auto number = ++this->lastDigestNumber;
    this->digestSentAt[number] = base::monotonicNow();
    this->digestSentAt.erase(number - std::min<std::uint64_t>(number, maxPendingDigests / 2));
    const auto peers = this->digestPeers();
    // A host that digests are no longer sent to can't be considered unresponsive.
    absl::erase_if(this->peerContacts, [&peers](const auto &contact) {
        return std::find(peers.begin(), peers.end(), contact.first) == peers.end();
    });
    for (const auto &peer : peers) {
        this->peerContacts.try_emplace(peer, PeerContact{base::monotonicNow(), absl::InfinitePast()});
        if (const auto link = this->links.linkTo(peer)) {
            this->sendDigest(link, number, false);
        }
    }
}

auto Control::publishIfChanged() -> void
{
    if (this->store.generation != this->publishedGeneration || base::monotonicNow() >= this->republishAt) {
        this->publishView();
    }
}

auto Control::publishView() -> void
{
    const auto now = base::monotonicNow();
    const auto window = membership::growthWindow(this->roster.config, this->budgetKeeper.longestRequestDuration());
    this->publishedGeneration = this->store.generation;
    this->republishAt = absl::InfiniteFuture();
    if (const auto *list = membership::newestList(this->roster)) {
        auto hosts = std::vector<base::HostId>();
        for (const auto &host : list->hosts) {
            if (!host.leaving) {
                hosts.push_back(host.id);
            }
        }
        routing::updateHosts(this->hostViews, std::move(hosts), now, window);
        if (this->hostViews.size() > 1) {
            this->republishAt = this->hostViews.back().since + window;
        }
    }
    auto next = std::make_shared<ControlView>();
    next->serial = this->view->serial + 1;
    next->hostViews = this->hostViews;
    next->shareWindow = window;
    for (const auto &[key, document] : this->store.documents) {
        if (!document.accepted) {
            continue;
        }
        if (const auto *contract = std::get_if<contracts::Contract>(document.accepted->value.get()); contract != nullptr && !contract->removed) {
            next->contracts.emplace(contract->customer, std::shared_ptr<const contracts::Contract>(document.accepted->value, contract));
        } else if (const auto *service = std::get_if<contracts::Service>(document.accepted->value.get()); service != nullptr && !service->removed) {
            const auto known = this->view->services.find(service->name);
            const auto revision = document.accepted->version.revision;
            const auto same = known != this->view->services.end() && known->second.view->generation == revision;
            auto published = same ? known->second.view : std::make_shared<const query::ServiceView>(query::ServiceView{revision, *service});
            next->services.emplace(service->name, ServiceEntry{published, this->ownersOf(*published, now, window)});
        }
    }
    this->budgetKeeper.updateContracts(next->contracts);
    this->view = next;
    this->outputs.onView(this->view);
}

auto Control::ownersOf(const query::ServiceView &service, absl::Time now, absl::Duration window) const -> std::shared_ptr<const routing::OwnershipMap>
{
    auto owners = std::make_shared<routing::OwnershipMap>();
    if (this->hostViews.empty()) {
        return owners;
    }
    *owners = routing::ownershipOf(service.service, this->hostViews.back().hosts);
    for (auto i = std::size_t{0}; i + 1 < this->hostViews.size(); ++i) {
        if (this->hostViews[i].until + window > now) {
            keepEarlierOwners(*owners, routing::ownershipOf(service.service, this->hostViews[i].hosts));
        }
    }
    return owners;
}

auto Control::tickFast() -> void
{
    this->reader.poll();
    this->renewLease();
    this->publishIfChanged();
    this->loop.runAt(base::monotonicNow() + fastInterval, [this] {
        this->tickFast();
    });
}

auto Control::tickExchange() -> void
{
    this->sendDigests();
    this->updateWatchingHosts();
    this->loop.runAt(base::monotonicNow() + this->hostSettings.timing.heartbeat, [this] {
        this->tickExchange();
    });
}

auto Control::tickBudgets() -> void
{
    const auto now = base::monotonicNow();
    this->budgetKeeper.tick(now);
    this->updateAcceptsLeafRequests(now);
    this->ownShareHeld = this->holdsOwnShare(now) && this->leafSharesInForce(now);
    this->loop.runAt(base::monotonicNow() + lendingConfig(this->hostSettings).interval, [this] {
        this->tickBudgets();
    });
}

auto Control::tickCosts() -> void
{
    const auto wait = this->costKeeper.tick(this->listedHosts(), base::monotonicNow());
    this->loop.runAt(base::monotonicNow() + std::max(wait, this->hostSettings.timing.costReport), [this] {
        this->tickCosts();
    });
}

auto Control::listedHosts() const -> std::vector<base::HostId>
{
    auto hosts = std::vector<base::HostId>();
    if (const auto *list = membership::newestList(this->roster)) {
        for (const auto &host : list->hosts) {
            hosts.push_back(host.id);
        }
    }
    return hosts;
}

} // namespace tamarackspan::daemon
