// What an emulated run consists of: a deployment, kinds of requests, load over time, faults.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::bench::placement
{

inline constexpr std::size_t s_regions = 3;

/// Upstreams of one service, evenly divided over the two failure domains of each region.
struct EmulatedService {
    std::string name;
    std::array<std::size_t, s_regions> upstreams{}; ///< by region
    std::uint32_t slots{};
    std::size_t queue{}; ///< requests that wait at an upstream; further ones are refused
    std::size_t warmObjects{}; ///< kept by an upstream, the least recently used one goes first
};

struct RequestKind {
    std::string name;
    std::string service;
    double perSecond{}; ///< of all callers
    base::Duration coldWork{}; ///< mean
    base::Duration objective{};
    base::Duration deadline{};
    std::uint32_t priority{}; ///< 0 is the most urgent
    std::size_t objects{};
};

struct Deployment {
    std::string name;
    std::size_t instancesPerDomain{};
    std::vector<EmulatedService> services;
    std::vector<RequestKind> kinds;
    double warmPart{}; ///< time of warm work as a part of cold work
    base::Duration withinRegion{}; ///< one way
    base::Duration betweenRegions{};
};

/// Load and faults of a run; times are seconds from its start.
struct Scenario {
    std::string name;
    double load = 1; ///< multiple of the deployment's rates
    struct Burst {
        double from{};
        double to{};
        std::size_t kind{}; ///< index
        double factor{};
    };
    std::vector<Burst> bursts;
    /// Part of the upstreams that work this many times slower for a while.
    double slowPart{};
    double slowFactor = 1;
    double slowFrom{};
    double slowTo{};
};

/// After the sheets of the users: many slots and few, regions of unequal size.
std::vector<Deployment> deployments();

std::vector<Scenario> scenarios();

} // namespace trefoilstile::bench::placement
