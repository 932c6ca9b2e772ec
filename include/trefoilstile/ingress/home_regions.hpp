// Regions to which callers of a host may be referred, from the home regions of its routes and of the client accounts.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace trefoilstile::ingress
{

/// Intersection of lists of home regions. A lookup does not say which route or account the caller will use, so an instance of
/// another region is named only if all of them may be served there. Example:
/// @code
/// HomeRegions homes;
/// homes.limitTo(route.homeRegions);
/// if (homes.allow(instance.region)) { ... }
/// @endcode
class HomeRegions
{
public:
    /// Limits the regions to those listed. An empty list limits nothing.
    void limitTo(std::span<const std::string> homes);

    /// Limits the regions to those that `other` allows.
    void limitTo(const HomeRegions &other);

    /// Allows no region, for callers whose routes are not known.
    static HomeRegions none();

    bool allow(std::string_view region) const
    {
        return !m_regions || m_regions->contains(region);
    }

private:
    using Regions = std::set<std::string, std::less<>>;

    void intersect(const Regions &regions);

    std::optional<Regions> m_regions; ///< nothing if all regions are allowed
};

} // namespace trefoilstile::ingress
