#pragma once

#include "tamarackspan/configuration/audit.h"
#include "tamarackspan/configuration/document_store.h"
#include "tamarackspan/configuration/exchange.h"
#include "tamarackspan/configuration/host_settings.h"
#include "tamarackspan/configuration/read_plan.h"
#include "tamarackspan/daemon/budget_keeper.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/cost_keeper.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/daemon/lease.h"
#include "tamarackspan/daemon/platform_reader.h"
#include "tamarackspan/membership/roster.h"
#include "tamarackspan/transport/acceptor.h"
#include "tamarackspan/transport/event_loop.h"
#include "tamarackspan/transport/peer_links.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// The callbacks through which control passes its results to the rest of the process.
struct ControlOutputs
{
    /// Called with each new view for the traffic threads.
    std::function<void(ControlViewPtr)> onView;
    /// Called with each traffic connection that a peer opened.
    std::function<void(transport::FrameConnection::Detached, wire::HelloT)> onTrafficPeer;
    /// Called with whether this host accepts leaf requests: its shares of leafs are in force and it isn't about to stop. Called on each change; false at first.
    std::function<void(bool)> onAcceptsLeafRequests;
};

/// All control state of the process: configuration, host list, leases, budgets. Everything here is used on the control loop's thread only.
class Control
{
public:
    Control(transport::EventLoop &loop, const configuration::HostSettings &settings, HostIdentity identity, Lease &lease, AdmissionGate &gate,
            const Accounting &accounting, ControlOutputs outputs);
    ~Control();
    Control(const Control &) = delete;
    auto operator=(const Control &) -> Control & = delete;

    /// Takes over the listening socket of the inner protocol and starts to read the configuration and to exchange messages with peers.
    auto start(int listenFd) -> void;

    /// Tells all peers that this host is draining.
    auto startDraining() -> void;

    /// Sends this host's own and stored cost reports to the remaining hosts, before the process ends.
    auto transferCostReports() -> void;

    /// Returns whether this host may take requests: it isn't draining, its configuration is known and its shares are in force.
    [[nodiscard]] auto isReady() -> bool;

    [[nodiscard]] auto settings() const -> const configuration::HostSettings &;
    [[nodiscard]] auto documents() const -> const configuration::DocumentStore &;
    [[nodiscard]] auto auditTrail() const -> const configuration::AuditTrail &;
    [[nodiscard]] auto hostListState() const -> const membership::RosterState &;
    [[nodiscard]] auto costReports() const -> std::vector<costs::CostReport>;
    [[nodiscard]] auto budgets() const -> const BudgetKeeper &;
    [[nodiscard]] auto freshness() const -> configuration::ConfigurationFreshness;
    [[nodiscard]] auto platformCalls() const -> std::uint64_t;
    [[nodiscard]] auto platformLastAnswer() const -> absl::Time;
    [[nodiscard]] auto currentView() const -> const ControlViewPtr &;
    [[nodiscard]] auto openLinks() const -> std::size_t;
    [[nodiscard]] auto isDraining() const -> bool;

private:
    /// When a peer was first sent a digest, and when a digest was last received from it.
    struct PeerContact
    {
        absl::Time firstDigestSentAt;
        absl::Time lastReceivedAt;
    };

    [[nodiscard]] auto holdsOwnShare(absl::Time now) const -> bool;
    [[nodiscard]] auto leafSharesInForce(absl::Time now) const -> bool;
    auto updateAcceptsLeafRequests(absl::Time now) -> void;
    auto onMessage(const transport::LinkPtr &link, wire::MessageT message) -> void;
    auto onDigest(const transport::LinkPtr &link, const wire::ConfigDigestT &digest) -> void;
    auto onDigestAnswer(const transport::LinkPtr &link, const wire::ConfigDigestT &digest) -> void;
    auto onList(const transport::LinkPtr &link, const configuration::ConfigList &list) -> void;
    auto onDocuments(const configuration::ConfigDocuments &documents) -> void;
    auto sendDigest(const transport::LinkPtr &link, std::uint64_t number, bool isAnswer) -> void;
    auto sendDigests() -> void;
    [[nodiscard]] auto digestPeers() const -> std::vector<base::HostId>;
    auto applyDocument(const configuration::Document &document, configuration::DocumentSource source) -> void;
    auto audit(const std::vector<configuration::AuditEntry> &entries) -> void;
    auto onHostListConfirmed(absl::Time confirmedAt) -> void;
    auto recordHostList(absl::Time confirmedAt) -> void;
    auto renewLease() -> void;
    /// True if a host that digests are sent to regularly hasn't sent one for twice the peer timeout.
    [[nodiscard]] auto isUnresponsive(const base::HostId &host, absl::Time now) const -> bool;
    auto updateWatchingHosts() -> void;
    auto publishIfChanged() -> void;
    auto publishView() -> void;
    [[nodiscard]] auto ownersOf(const query::ServiceView &service, absl::Time now, absl::Duration window) const -> std::shared_ptr<const routing::OwnershipMap>;
    [[nodiscard]] auto hostListKey() const -> std::string;
    auto tickFast() -> void;
    auto tickExchange() -> void;
    auto tickBudgets() -> void;
    auto tickCosts() -> void;
    [[nodiscard]] auto listedHosts() const -> std::vector<base::HostId>;
    template<typename T>
    auto sendTo(const base::HostId &host, const T &message) -> void;

    transport::EventLoop &loop;
    configuration::HostSettings hostSettings;
    HostIdentity identity;
    Lease &lease;
    ControlOutputs outputs;
    configuration::DocumentStore store;
    configuration::AuditTrail trail;
    std::ofstream auditFile;
    configuration::ReadPlan plan;
    membership::RosterState roster;
    transport::PeerLinks links;
    PlatformReader reader;
    BudgetKeeper budgetKeeper;
    CostKeeper costKeeper;
    std::unique_ptr<transport::Acceptor> acceptor;
    absl::flat_hash_map<base::HostId, configuration::ExchangePacer> pacers;
    /// The peers that digests are sent to.
    absl::flat_hash_map<base::HostId, PeerContact> peerContacts;
    /// The hosts that were last passed to the reading plan.
    std::vector<base::HostId> watchingHosts;
    /// When each numbered digest was sent; the ages in its answer count back from that time.
    absl::flat_hash_map<std::uint64_t, absl::Time> digestSentAt;
    std::uint64_t lastDigestNumber = 0;
    std::vector<routing::HostView> hostViews;
    ControlViewPtr view;
    std::uint64_t publishedGeneration = 0;
    absl::Time startedAt;
    absl::Time republishAt = absl::InfiniteFuture();
    bool draining = false;
    /// Whether this host's own shares were in force at the last update of the budgets.
    bool ownShareHeld = false;
    bool acceptsLeafRequests = false;
};

} // namespace tamarackspan::daemon
