// Intersection of home regions.

#include "trefoilstile/ingress/home_regions.hpp"

namespace trefoilstile::ingress
{

void HomeRegions::limitTo(std::span<const std::string> homes)
{
    if (!homes.empty()) {
        intersect(Regions(homes.begin(), homes.end()));
    }
}

void HomeRegions::limitTo(const HomeRegions &other)
{
    if (other.m_regions) {
        intersect(*other.m_regions);
    }
}

HomeRegions HomeRegions::none()
{
    HomeRegions homes;
    homes.m_regions.emplace();
    return homes;
}

void HomeRegions::intersect(const Regions &regions)
{
    if (!m_regions) {
        m_regions = regions;
        return;
    }
    std::erase_if(*m_regions, [&regions](const std::string &region) {
        return !regions.contains(region);
    });
}

} // namespace trefoilstile::ingress
