#include "tamarackspan/routing/ownership.h"

#include "tamarackspan/base/random.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::routing;

constexpr auto seed = std::uint64_t{20261204};
constexpr auto hostsPerRack = std::uint32_t{20};

auto makeHosts(std::uint32_t count) -> std::vector<base::HostId>
{
    auto hosts = std::vector<base::HostId>{};
    for (auto i = std::uint32_t{0}; i < count; ++i) {
        hosts.emplace_back(absl::StrFormat("10.%d.%d.%d:7000", i / 65536, i / 256 % 256, i % 256));
    }
    return hosts;
}

auto makeService(std::uint32_t leafs, std::uint32_t slots, std::uint32_t connections, std::uint32_t groupSize) -> contracts::Service
{
    auto service = contracts::Service{};
    service.name = base::ServiceName{"bench"};
    service.dataCentre = base::DataCentre{"dc-1"};
    service.ownershipGroupSize = groupSize;
    for (auto i = std::uint32_t{0}; i < leafs; ++i) {
        const auto id = base::LeafId{absl::StrFormat("leaf-%05d", i)};
        service.leafs.emplace(id, contracts::Leaf{id, "127.0.0.1", 1, slots, connections, false});
    }
    return service;
}

/// The fraction of the slots whose owner changed, in percent.
auto moved(const OwnershipMap &before, const OwnershipMap &after) -> double
{
    auto slots = 0.0;
    auto kept = 0.0;
    for (const auto &[leaf, owners] : before) {
        for (const auto &owner : owners) {
            slots += owner.slots;
            for (const auto &now : after.at(leaf)) {
                kept += now.host == owner.host ? std::min(owner.slots, now.slots) : 0;
            }
        }
    }
    return 100 * (slots - kept) / slots;
}

auto printBalance(std::uint32_t leafs, std::uint32_t hostCount, std::uint32_t slots, std::uint32_t connections, std::uint32_t groupSize) -> void
{
    const auto service = makeService(leafs, slots, connections, groupSize);
    auto hosts = makeHosts(hostCount);
    const auto begin = absl::Now();
    const auto owners = ownershipOf(service, hosts);
    const auto took = absl::ToDoubleMilliseconds(absl::Now() - begin);
    auto held = absl::flat_hash_map<base::HostId, std::uint32_t>{};
    for (const auto &[leaf, shares] : owners) {
        for (const auto &share : shares) {
            held[share.host] += share.slots;
        }
    }
    auto most = std::uint32_t{0};
    for (const auto &[host, count] : held) {
        most = std::max(most, count);
    }
    const auto mean = static_cast<double>(leafs) * slots / hostCount;
    auto without = hosts;
    without.erase(without.begin() + hostCount / 2);
    const auto oneGone = moved(owners, ownershipOf(service, without));
    const auto rack = std::min(hostsPerRack, hostCount / 2);
    auto rackGone = hosts;
    rackGone.erase(rackGone.begin(), rackGone.begin() + rack);
    std::cout << absl::StrFormat("%6d %6d %6d %8.2f %8.2f %6d %10.2f%% %6.2f%% %9.2f%% %6.2f%% %9.2f\n", leafs, hostCount, groupSize, mean, most / mean,
                                 hostCount - static_cast<std::uint32_t>(held.size()), oneGone, 100.0 / hostCount, moved(owners, ownershipOf(service, rackGone)),
                                 100.0 * rack / hostCount, took);
}

/// Prints how many owners one query over `queryLeafs` adjacent leafs has to contact.
auto printMessages(std::uint32_t hostCount) -> void
{
    constexpr auto queryLeafs = std::uint32_t{79};
    constexpr auto queries = 500;
    const auto hosts = makeHosts(hostCount);
    for (const auto groupSize : {1U, 2U, 4U, 8U, 16U, 32U, 79U}) {
        const auto service = makeService(queryLeafs, 2, 25, groupSize);
        const auto owners = ownershipOf(service, hosts);
        auto random = base::Random{seed};
        auto sum = 0.0;
        auto inFlightSum = 0.0;
        for (auto i = 0; i < queries; ++i) {
            const auto draw = random.next();
            auto byDraw = absl::flat_hash_set<base::HostId>{};
            auto byLeaf = absl::flat_hash_set<base::HostId>{};
            for (const auto &[leaf, shares] : owners) {
                byDraw.insert(chooseOwner(shares, draw)->host);
                byLeaf.insert(chooseOwner(shares, random.next())->host);
            }
            sum += static_cast<double>(byDraw.size());
            inFlightSum += static_cast<double>(byLeaf.size());
        }
        std::cout << absl::StrFormat("%6d %6d %14.1f %16.1f\n", hostCount, groupSize, sum / queries, inFlightSum / queries);
    }
}

} // namespace

/// Prints the balance and movement of ownership under the real hash, and the number of owners that a query contacts.
auto main() -> int
{
    std::cout << absl::StrFormat(
        "Slots per host, most over mean, hosts without any, slots moved when one host or one rack of %d is removed (and the least possible)\n", hostsPerRack);
    std::cout << " leafs  hosts  group     mean most/mean  none   one gone  least  rack gone  least  pass ms\n";
    for (const auto groupSize : {1U, 2U, 4U, 8U}) {
        printBalance(40, 3, 2, 25, groupSize);
        printBalance(13, 3, 3, 110, groupSize);
        printBalance(4250, 525, 2, 25, groupSize);
        printBalance(4250, 1050, 2, 25, groupSize);
    }
    std::cout << "\nOwners that one query over 79 leafs contacts\n hosts  group   one draw/query  one draw/leaf\n";
    for (const auto hostCount : {3U, 525U, 1050U}) {
        printMessages(hostCount);
    }
    return 0;
}
