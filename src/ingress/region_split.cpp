// Balanced shares of the regions and their rate-limited change.

#include "trefoilstile/ingress/region_split.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::ingress
{

std::map<std::string, double, std::less<>> balancedShares(std::string_view ownRegion, const RegionCapacities &regions, double localPreference)
{
    double capacity = 0;
    double demand = 0;
    for (const auto &[name, region] : regions) {
        capacity += region.capacity;
        demand += region.demand;
    }
    std::map<std::string, double, std::less<>> shares;
    if (capacity <= 0) {
        shares[std::string(ownRegion)] = 1;
        return shares;
    }
    const auto keptBy = [&](const RegionCapacity &region) {
        const double demandShare = demand > 0 ? region.demand / demand : 0;
        return demandShare > 0 ? std::min(1.0, localPreference * region.capacity / capacity / demandShare) : 1.0;
    };
    const auto own = regions.find(ownRegion);
    const double kept = own == regions.end() ? 0.0 : keptBy(own->second);
    if (kept > 0) {
        shares[std::string(ownRegion)] = kept;
    }
    std::map<std::string, double, std::less<>> spare;
    double totalSpare = 0;
    for (const auto &[name, region] : regions) {
        const double used = demand > 0 ? keptBy(region) * region.demand / demand : 0;
        // A small value for regions without spare capacity keeps the sum positive if all regions are equally loaded.
        const double free = std::max(region.capacity / capacity - used, 0.01 * region.capacity / capacity);
        if (name != ownRegion && free > 0) {
            spare[name] = free;
            totalSpare += free;
        }
    }
    for (const auto &[name, free] : spare) {
        if (kept < 1) {
            shares[name] = (1 - kept) * free / totalSpare;
        }
    }
    if (totalSpare <= 0) {
        shares[std::string(ownRegion)] = 1;
    }
    return shares;
}

bool RegionSplit::detectLoss(const RegionCapacities &regions, base::Duration elapsed)
{
    const double kept = std::exp(-base::toSeconds(elapsed) / base::toSeconds(m_options.capacityTimeConstant));
    bool lost = false;
    for (auto &[name, recent] : m_recentCapacity) {
        const auto found = regions.find(name);
        const double capacity = found == regions.end() ? 0.0 : found->second.capacity;
        recent = std::max(capacity, kept * recent + (1 - kept) * capacity);
        lost = lost || capacity < m_options.lossThreshold * recent;
    }
    for (const auto &[name, region] : regions) {
        m_recentCapacity.try_emplace(name, region.capacity);
    }
    return lost;
}

void RegionSplit::update(std::string_view ownRegion, const RegionCapacities &regions, bool inUse, base::TimePoint now)
{
    const auto target = balancedShares(ownRegion, regions, m_options.localPreference);
    const auto hasCapacity = [&](const std::string &name) {
        const auto found = regions.find(name);
        return found != regions.end() && found->second.capacity > 0;
    };
    const bool lost = std::any_of(m_shares.begin(), m_shares.end(), [&](const auto &entry) {
        return entry.second > 0 && !hasCapacity(entry.first);
    });
    const bool capacityLost = detectLoss(regions, m_updatedAt ? now - *m_updatedAt : base::Duration::zero());
    if (!m_updatedAt || !inUse || lost) {
        m_shares = target;
        m_ownRegion = ownRegion;
        m_updatedAt = now;
        return;
    }
    double distance = 0; // share of the requests that would change region: half the sum of all absolute differences
    for (const auto &[name, share] : target) {
        distance += std::max(0.0, share - this->share(name));
    }
    const double allowed = (capacityLost ? m_options.lossShiftPerSecond : m_options.shiftPerSecond) * base::toSeconds(now - *m_updatedAt);
    m_updatedAt = now;
    const double step = distance > allowed ? allowed / distance : 1.0;
    std::map<std::string, double, std::less<>> moved;
    for (const auto &[name, share] : m_shares) {
        const auto found = target.find(name);
        moved[name] = share + step * ((found == target.end() ? 0.0 : found->second) - share);
    }
    for (const auto &[name, share] : target) {
        moved.try_emplace(name, step * share);
    }
    m_shares = std::move(moved);
}

std::string_view RegionSplit::regionOf(double point) const
{
    // The own region covers the first points, so that a change of its share moves keys only between it and other regions.
    double sum = share(m_ownRegion);
    std::string_view last = m_ownRegion;
    if (point < sum) {
        return last;
    }
    for (const auto &[name, share] : m_shares) {
        if (name == m_ownRegion || share <= 0) {
            continue;
        }
        sum += share;
        last = name;
        if (point < sum) {
            return name;
        }
    }
    return last;
}

double RegionSplit::share(std::string_view region) const
{
    const auto found = m_shares.find(region);
    return found == m_shares.end() ? 0.0 : found->second;
}

} // namespace trefoilstile::ingress
