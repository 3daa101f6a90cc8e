#include "tamarackspan/census/census_link.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/census/census_generated.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::census {

namespace {

/// The maximum size of a report: fits into one packet of any network path.
constexpr auto maxReportBytes = std::size_t{1200};
/// Larger than any report.
constexpr auto datagramBytes = std::size_t{8192};
/// A datagram with more records than this is rejected as invalid.
constexpr auto maxRecords = std::uint32_t{256};
/// Hosts contacted by one probe, since a host may be down and a datagram may be lost.
constexpr auto hostsPerProbe = std::size_t{3};
/// Hosts that are told at once when data centres come into or out of reach: three steps reach several hundred hosts.
constexpr auto hostsPerAnnouncement = std::size_t{8};
/// Hosts of each other data centre that are told of a read of the document store by the host that made it, since a datagram may be lost.
constexpr auto hostsPerRemoteAnnouncement = std::size_t{2};
/// Hosts of the own data centre to which a host relays a statement about the document store. Those that it misses hear of it with the regular reports.
constexpr auto hostsPerRelay = std::size_t{4};
/// A report that names more data centres than this as out of reach is rejected as invalid.
constexpr auto maxOutOfReach = std::uint32_t{64};
/// The same for evacuations.
constexpr auto maxEvacuations = std::uint32_t{64};

auto addressOf(const std::string &ip, std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

auto encodeReport(const HostReport &report, absl::Time now) -> std::string
{
    auto message = frame::ReportT();
    message.known = static_cast<std::uint32_t>(report.known);
    message.wants_reply = report.wantsReply;
    message.out_of_reach = report.reach.outOfReach;
    message.asked = report.reach.asked;
    message.served = report.reach.served;
    if (report.revision.has_value()) {
        const auto age = absl::ToInt64Milliseconds(absl::Ceil(now - report.revision->currentAt, absl::Milliseconds(1)));
        message.store_reader = report.revision->reader;
        message.store_read = report.revision->read;
        message.store_era = report.revision->position.era;
        message.store_revision = report.revision->position.revision;
        message.store_age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
    }
    for (const auto &statement : report.evacuations) {
        auto evacuation = std::make_unique<frame::EvacuationT>();
        evacuation->data_centre = statement.dataCentre;
        evacuation->evacuated = statement.evacuated;
        evacuation->era = statement.since.era;
        evacuation->revision = statement.since.revision;
        message.evacuations.push_back(std::move(evacuation));
    }
    for (const auto &record : report.records) {
        auto host = std::make_unique<frame::HostT>();
        host->name = record.name;
        host->ip = record.ip;
        host->data_centre = record.dataCentre;
        host->capacity = record.capacity;
        host->stopping = record.stopping;
        host->incarnation = record.incarnation;
        host->sequence = record.sequence;
        message.hosts.push_back(std::move(host));
    }
    auto builder = flatbuffers::FlatBufferBuilder();
    frame::FinishReportBuffer(builder, frame::Report::Pack(builder, &message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

auto encodeWithin(std::size_t bytes, HostReport report, absl::Time now) -> std::string
{
    auto datagram = encodeReport(report, now);
    while (datagram.size() > bytes && report.records.size() > 1) {
        report.records.pop_back();
        datagram = encodeReport(report, now);
    }
    return datagram;
}

auto decodeReport(std::string_view datagram, absl::Time now) -> std::optional<HostReport>
{
    const auto *const bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    auto verifier = flatbuffers::Verifier(bytes, datagram.size());
    if (datagram.size() < sizeof(flatbuffers::uoffset_t) * 2 || !frame::VerifyReportBuffer(verifier)) {
        return std::nullopt;
    }
    const auto *const report = frame::GetReport(bytes);
    const auto *const hosts = report->hosts();
    const auto *const outOfReach = report->out_of_reach();
    const auto *const evacuations = report->evacuations();
    if (hosts->size() > maxRecords || (outOfReach != nullptr && outOfReach->size() > maxOutOfReach)
        || (evacuations != nullptr && evacuations->size() > maxEvacuations)) {
        return std::nullopt;
    }
    if (!(report->served() >= 0.0F && report->served() <= report->asked() && std::isfinite(report->asked()))) {
        return std::nullopt;
    }
    auto decoded = HostReport{.known = report->known(), .wantsReply = report->wants_reply()};
    for (const auto *const host : *hosts) {
        decoded.records.push_back({.name = host->name()->str(),
                                   .ip = host->ip()->str(),
                                   .dataCentre = host->data_centre()->str(),
                                   .capacity = host->capacity(),
                                   .stopping = host->stopping(),
                                   .incarnation = host->incarnation(),
                                   .sequence = host->sequence()});
    }
    decoded.reach = {.asked = report->asked(), .served = report->served()};
    if (outOfReach != nullptr) {
        for (const auto *const name : *outOfReach) {
            decoded.reach.outOfReach.push_back(name->str());
        }
    }
    if (report->store_read() != 0) {
        decoded.revision = RevisionStatement{.reader = report->store_reader(),
                                             .read = report->store_read(),
                                             .position = {.era = report->store_era(), .revision = report->store_revision()},
                                             .currentAt = now - absl::Milliseconds(report->store_age_ms())};
    }
    if (evacuations != nullptr) {
        for (const auto *const evacuation : *evacuations) {
            decoded.evacuations.push_back({.dataCentre = evacuation->data_centre()->str(),
                                           .evacuated = evacuation->evacuated(),
                                           .since = {.era = evacuation->era(), .revision = evacuation->revision()}});
        }
    }
    return decoded;
}

CensusLink::CensusLink(transport::EventLoop &loop, CensusSettings settings, HostCensus &census, std::uint64_t seed,
                       std::function<void(const HostReport &)> onReport)
    : loop(loop),
      settings(std::move(settings)),
      census(census),
      random(seed),
      onReport(std::move(onReport))
{
}

CensusLink::~CensusLink()
{
    this->loop.cancelTimer(this->timer);
    if (this->fd >= 0) {
        this->loop.unwatch(this->fd);
        ::close(this->fd);
    }
}

auto CensusLink::start() -> absl::Status
{
    this->fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = addressOf(this->settings.ip, this->settings.port);
    if (this->fd < 0 || ::bind(this->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return absl::UnavailableError(std::strerror(errno));
    }
    this->loop.watch(this->fd, EPOLLIN, [this](std::uint32_t) {
        this->receive();
    });
    this->sendReports();
    this->schedule();
    return absl::OkStatus();
}

auto CensusLink::schedule() -> void
{
    const auto now = base::monotonicNow();
    this->timer = this->loop.runAt(now + this->census.roundInterval(this->settings.reports, now), [this] {
        this->sendReports();
        this->schedule();
    });
}

auto CensusLink::setSeeds(std::vector<std::string> ips) -> void
{
    this->settings.reports.seeds = std::move(ips);
}

auto CensusLink::sendReports() -> void
{
    const auto now = base::monotonicNow();
    this->census.beginRound(now);
    const auto announcement = this->encodeWithStatements(this->census.makeReport(this->settings.recordsPerReport, false, this->random, now));
    const auto request = this->encodeWithStatements(this->census.makeReport(this->settings.recordsPerReport, true, this->random, now));
    for (const auto &planned : this->census.planReports(this->settings.reports, this->random, now)) {
        this->sendTo(planned.ip, planned.wantsReply ? request : announcement);
    }
}

auto CensusLink::probe(std::string_view dataCentre) -> void
{
    // The own record only: while a data centre is cut off, all others probe it.
    const auto request = this->encodeWithStatements(this->census.makeReport(1, true, this->random, base::monotonicNow()));
    for (const auto &planned : this->census.planProbes(dataCentre, hostsPerProbe, this->random)) {
        this->sendTo(planned.ip, request);
    }
}

auto CensusLink::setReach(ReachStatement statement) -> void
{
    const auto changed = statement.outOfReach != this->reach.outOfReach;
    this->reach = std::move(statement);
    if (!changed) {
        return;
    }
    this->announce(hostsPerAnnouncement, 0);
}

auto CensusLink::spreadRevision(const RevisionStatement &statement, bool ownRead) -> void
{
    this->revision = statement;
    this->announce(ownRead ? hostsPerAnnouncement : hostsPerRelay, ownRead ? hostsPerRemoteAnnouncement : 0);
}

auto CensusLink::spreadEvacuations(std::vector<EvacuationStatement> statements, bool ownRead) -> void
{
    if (statements == this->evacuations) {
        return;
    }
    this->evacuations = std::move(statements);
    // All hosts that can reach the store announce what they read, so that one host of each other data centre is enough.
    this->announce(hostsPerRelay, ownRead ? 1 : 0);
}

auto CensusLink::announce(std::size_t near, std::size_t far) -> void
{
    const auto now = base::monotonicNow();
    const auto report = this->encodeWithStatements(this->census.makeReport(1, false, this->random, now));
    for (const auto &planned : this->census.planSpread(near, far, this->random, now)) {
        this->sendTo(planned.ip, report);
    }
}

auto CensusLink::encodeWithStatements(HostReport report) const -> std::string
{
    report.reach = this->reach;
    report.revision = this->revision;
    report.evacuations = this->evacuations;
    // Without evacuations the number of records alone bounds the size.
    return report.evacuations.empty() ? encodeReport(report, base::monotonicNow()) : encodeWithin(maxReportBytes, std::move(report), base::monotonicNow());
}

auto CensusLink::sendTo(const std::string &ip, const std::string &datagram) const -> void
{
    const auto address = addressOf(ip, this->settings.port);
    // Send errors are ignored like lost datagrams: the next report carries the same information, updated.
    std::ignore = ::sendto(this->fd, datagram.data(), datagram.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

auto CensusLink::receive() -> void
{
    auto buffer = std::array<char, datagramBytes>();
    while (true) {
        const auto got = ::recv(this->fd, buffer.data(), buffer.size(), 0);
        if (got < 0) {
            return;
        }
        const auto now = base::monotonicNow();
        const auto report = decodeReport(std::string_view(buffer.data(), static_cast<std::size_t>(got)), now);
        if (!report.has_value() || report->records.empty()) {
            continue;
        }
        this->census.applyReport(*report, now);
        this->onReport(*report);
        const auto &sender = report->records.front();
        if (report->wantsReply || this->census.holdsNewerIncarnation(sender)) {
            this->sendTo(sender.ip, this->encodeWithStatements(this->census.makeReply(sender, this->settings.recordsPerReport, this->random, now)));
        }
    }
}

} // namespace tamarackspan::census
