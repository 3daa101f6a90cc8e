#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::answers {

/// The checker rules that tests of leaf caps evaluate.
inline const auto checkedRules = std::vector<std::string>{"slot-cap", "connection-cap", "one-snapshot", "true-coverage"};

/// Leaf settings whose caps limit the load: at most as many connections as slots, and fewer of both than concurrent callers.
inline auto cappedLeaf(std::uint32_t slots, std::uint32_t connections) -> Json
{
    return {{"slots", slots}, {"connections", connections}, {"exponential", true}, {"mean_us", 4000}};
}

/// A service whose leafs are published with these caps.
inline auto cappedService(std::uint32_t slots, std::uint32_t connections) -> PublishedService
{
    auto service = PublishedService();
    service.slots = slots;
    service.connections = connections;
    return service;
}

/// A load with more requests in flight than the leafs have slots or connections.
inline auto saturatingLoad(const Deployment &deployment, const std::vector<std::size_t> &hosts, std::uint64_t seed) -> testkit::LoadOptions
{
    auto options = deployment.load("labelled", hosts, seed);
    options.inFlight = 24;
    options.deadline = absl::Milliseconds(400);
    options.timeout = absl::Seconds(5);
    return options;
}

} // namespace tamarackspan::answers
