// Divides the requests of one region over the regions that can serve them, by affinity key and slowly changing.
//
// Answers a standing shortage: a region whose callers need more than its own upstreams hold. A key keeps its region while
// the split is still, so that its object stays warm there. A change moves a bounded part of the keys per second, so that
// no region receives a sudden load of cold work.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

struct RegionSplitOptions {
    /// Part of the requests that may change region per second; with spilled requests this stays below the 0.15 per 2 s
    /// that the operators allow.
    double shiftPerSecond = 0.02;
    /// The same while a region has lost capacity: staying would fail requests, and the loss itself is no planned shift.
    double lossShiftPerSecond = 0.25;
    /// Part of its recent capacity below which a region counts as having lost some.
    double lossLimit = 0.85;
    /// Time constant of the recent capacity.
    base::Duration capacityMemory = std::chrono::seconds(10);
    /// Load that a region takes from its own callers, as a multiple of the mean load of all regions, before it sends
    /// callers elsewhere.
    double localPreference = 1.3;
};

/// What a region has and what its callers ask for, in any unit common to all regions.
struct RegionCapacity {
    double capacity{};
    double demand{};
};

using RegionCapacities = std::map<std::string, RegionCapacity, std::less<>>;

class RegionSplit
{
public:
    explicit RegionSplit(RegionSplitOptions options = {})
        : m_options(options)
    {
    }

    /// Moves the split towards what the capacities ask for; at once away from regions without any capacity, and while it
    /// is not in use, since upstreams become known one after the other at a start.
    /// @param inUse requests have been placed by it of late
    void update(std::string_view ownRegion, const RegionCapacities &regions, bool inUse, base::TimePoint now);

    /// Region of a key. Empty before the first update.
    /// @param point of the key, uniform in [0, 1)
    std::string_view regionOf(double point) const;

    /// Share of a region, 0 to 1.
    double share(std::string_view region) const;

    const std::map<std::string, double, std::less<>> &shares() const
    {
        return m_shares;
    }

private:
    RegionSplitOptions m_options;
    std::string m_ownRegion;
    std::map<std::string, double, std::less<>> m_shares; ///< sum is 1 once updated
    std::map<std::string, double, std::less<>> m_recentCapacity; ///< follows a rise at once and a fall slowly
    std::optional<base::TimePoint> m_updatedAt;

    bool lossNoticed(const RegionCapacities &regions, base::Duration elapsed);
};

/// Shares of the requests of `ownRegion`: it keeps what fits its part of the capacity, and the rest goes to regions with
/// room in proportion to it.
std::map<std::string, double, std::less<>> balancedShares(std::string_view ownRegion, const RegionCapacities &regions, double localPreference);

} // namespace trefoilstile::ingress
