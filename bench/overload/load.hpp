// What an experiment consists of: a deployment, days of load, and the variants to compare.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::bench::overload
{

inline constexpr std::size_t s_regions = placement::s_regions;
inline constexpr std::size_t s_domains = 2 * s_regions; ///< two failure domains in each region

struct Kind : placement::RequestKind {
    bool repeatable = true; ///< otherwise at most once
    double skew = 1; ///< the first part p of the objects gets the part p^(1/skew) of the requests; 1: all objects get the same
};

/// Client accounts. The large ones come first; the others share the rest of the requests evenly.
struct Accounts {
    std::size_t count{}; ///< 0: requests have no account
    std::vector<double> largeShares; ///< of the requests, one for each large account
    double quotaFactor = 1; ///< rate in the configuration, as a multiple of the usual rate
};

struct Deployment {
    std::string name;
    std::array<std::size_t, s_domains> instances{}; ///< by failure domain
    std::array<double, s_regions> callers{}; ///< share of the requests by region
    std::vector<placement::EmulatedService> services;
    std::vector<Kind> kinds;
    Accounts accounts;
    double warmPart = 1; ///< time of warm work as a part of cold work
    base::Duration callerLatency{}; ///< one way
    base::Duration withinRegion{};
    base::Duration betweenRegions{};
};

/// One account sends a multiple of its usual rate.
struct HotAccount {
    std::size_t account{}; ///< index, the large accounts come first
    double from{}; ///< s
    double to{};
    double factor = 1;
};

/// A part of the requests takes a multiple of the mean work; the others take less, so that the mean stays.
struct LongWork {
    double part{};
    double factor = 1;
};

/// Each upstream's machine draws its speed anew at random times.
struct MachineSpeed {
    double slowPart{}; ///< of the time
    double slowFactor = 1; ///< multiple of the time of work; applies to work that starts while the machine is slow
    base::Duration meanTime = std::chrono::milliseconds(600); ///< between two draws
    bool reported = false; ///< in the load report of each response
};

/// Demand of each region rises and falls; the phases of the regions are a third of the period apart.
struct Swell {
    double part{}; ///< of the mean demand
    double period = 1; ///< s
};

/// What callers do after a refusal.
struct CallerConduct {
    std::size_t returns = 1; ///< how often a request comes back after `Retry-After`
    double returnLimit = 1.0 / 3; ///< longest `Retry-After` that is honoured, as a part of the time left
    double impatientPart{}; ///< of the callers; they retry immediately at another instance
    std::size_t impatientTries{};
    base::Duration impatientPause = std::chrono::milliseconds(20);
};

struct Day {
    std::string name;
    double load = 1; ///< multiple of the deployment's rates
    std::vector<placement::Scenario::Burst> bursts;
    std::optional<HotAccount> hot;
    LongWork longWork;
    MachineSpeed machines;
    Swell swell;
    CallerConduct conduct;
    double brokenPart{}; ///< of the attempts whose connection breaks after the work
};

enum class PolicyName : std::uint8_t { Placement, LeastLoad, RoundRobin, BoundedLoadHash, PowerOfTwoChoices, PowerOfTwoByKey };

struct Variant {
    std::string name;
    PolicyName policy = PolicyName::Placement;
    bool speedReported = true; ///< false: upstreams do not report the speed of their machine, whatever the day says
    ingress::PlacementOptions placement;
    ingress::UpstreamTableOptions upstreams;
};

struct Experiment {
    std::string name;
    Deployment deployment;
    std::vector<Day> days;
    std::vector<Variant> variants;
    std::vector<std::uint64_t> seeds;
    double length{}; ///< s, of which the first `settle` are not counted
    double settle{}; ///< all objects are cold at the start
};

} // namespace trefoilstile::bench::overload
