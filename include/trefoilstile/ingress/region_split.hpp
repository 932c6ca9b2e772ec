// Splits the requests of one region over the regions that can serve them, by affinity key.
//
// The split handles a lasting shortage of capacity in a region, where the demand of its callers exceeds its own upstreams. A
// key keeps its region while the shares do not change, so that its object stays warm there. A change of the shares moves a
// bounded share of the keys per second, so that no region receives a sudden load of cold work.
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
    /// Maximum share of the requests that changes region per second. Together with spilled requests this stays below the
    /// limit of 0.15 per 2 s that operators set.
    double shiftPerSecond = 0.02;
    /// The same limit while a region has lost capacity. It is higher because requests that stay would fail, and because a loss
    /// does not count as a planned shift.
    double lossShiftPerSecond = 0.25;
    /// A region has lost capacity if its capacity is below this share of its recent capacity.
    double lossThreshold = 0.85;
    /// Time constant with which the recent capacity decays.
    base::Duration capacityTimeConstant = std::chrono::seconds(10);
    /// Load up to which a region serves its own callers before it sends requests to other regions, as a multiple of the mean
    /// load of all regions.
    double localPreference = 1.3;
};

/// Capacity of a region and demand of its callers, in any unit that is common to all regions.
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

    /// Moves the shares towards the balanced shares of the given capacities, at a limited rate. The shares are set without a
    /// limit if a region with a share has no capacity left, or while the split is not in use, because upstreams are discovered
    /// one after the other at start.
    /// @param inUse requests have been placed recently
    void update(std::string_view ownRegion, const RegionCapacities &regions, bool inUse, base::TimePoint now);

    /// Returns the region of a key; empty before the first update.
    /// @param point position of the key, uniform in [0, 1)
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
    std::map<std::string, double, std::less<>> m_shares; ///< by region; the sum is 1 after the first update
    std::map<std::string, double, std::less<>> m_recentCapacity; ///< by region; follows an increase immediately and decays slowly
    std::optional<base::TimePoint> m_updatedAt;

    /// Updates the recent capacities. True if a region has lost capacity.
    bool detectLoss(const RegionCapacities &regions, base::Duration elapsed);
};

/// Shares of the requests of `ownRegion` by region. The region keeps the requests that fit its share of the total capacity; the
/// rest is sent to regions with spare capacity, in proportion to it.
std::map<std::string, double, std::less<>> balancedShares(std::string_view ownRegion, const RegionCapacities &regions, double localPreference);

} // namespace trefoilstile::ingress
