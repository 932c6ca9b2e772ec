// What happens in one run of the policy benchmark: the fleet, the load in phases, and the faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::bench
{

/// Work of one class.
struct ClassWork {
    base::Duration firstByte{}; ///< mean time of an upstream to the first byte
    base::Duration held{}; ///< mean time for which a slot is held, first byte included
    base::Duration timeout{}; ///< of the callers, from arrival to the first byte
    bool idempotent = true;
};

/// Sizes of the fleet. Regions have two failure domains each.
struct Deployment {
    std::string name;
    std::uint32_t regions = 3;
    std::uint32_t instancesPerDomain = 2;
    std::uint32_t upstreamsPerDomain = 6;
    std::uint32_t slots = 4; ///< of each upstream
    std::uint32_t connections = 400;
    std::uint32_t maximumEntryInstances = 16;
    base::PerClass<ClassWork> work{};

    std::uint32_t domains() const
    {
        return 2 * regions;
    }

    std::uint32_t upstreams() const
    {
        return domains() * upstreamsPerDomain;
    }

    std::uint32_t instances() const
    {
        return domains() * instancesPerDomain;
    }

    double totalSlots() const
    {
        return static_cast<double>(upstreams() * slots);
    }
};

/// Load during one part of a run. Results are reported by the phase in which a request arrived.
struct Phase {
    std::string name;
    base::Duration length{};
    base::PerClass<double> demand; ///< of each class, as a part of all slots
};

enum class FaultKind : std::uint8_t {
    LoseRegion, ///< the upstreams of the region die: half refuse connections, half never respond
    RestoreRegion, ///< they come back as new, cold incarnations
    ColdDomain, ///< the upstreams of the domain are replaced by cold incarnations
    DrainDomain, ///< the drain list reaches each instance within 1.5 s; the load endpoints say so after 1 s
    LagReports, ///< load reports show the state 5 s ago
    MisleadReports, ///< a quarter of the upstreams, three times slower now, report idle; another quarter report full
    StopReports,
};

struct Fault {
    base::Duration at{}; ///< from the start of the run
    FaultKind kind = FaultKind::StopReports;
    std::uint32_t target{}; ///< index of the region or domain
};

struct Scenario {
    std::string name;
    std::vector<Phase> phases;
    std::vector<Fault> faults;
    bool otherRegions = false; ///< requests may go to other regions
    bool callersReturn = false; ///< rejected callers come back after `Retry-After`, until served
};

/// Fleets with many and with few slots for each instance.
std::vector<Deployment> deployments();

std::vector<Scenario> scenarios();

/// Minimum shares and weights used by all runs, as they would stand in the steering document.
inline constexpr base::PerClass<double> s_minimumShares{{0.3, 0.3, 0.1}};
inline constexpr base::PerClass<double> s_weights{{8.0, 3.0, 1.0}};

} // namespace trefoilstile::bench
