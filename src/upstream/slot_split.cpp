// Split of each upstream's slots between instances.

#include "trefoilstile/upstream/slot_split.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::upstream
{

namespace
{

std::pair<std::uint64_t, std::string_view> rendezvousKey(std::string_view upstream, std::string_view instance)
{
    return {base::stableHash(instance, base::stableHash(upstream)), instance};
}

} // namespace

std::uint32_t slotRank(std::string_view upstream, std::span<const std::string> instances, std::string_view self)
{
    const auto own = rendezvousKey(upstream, self);
    return static_cast<std::uint32_t>(std::count_if(instances.begin(), instances.end(), [&](const std::string &instance) {
        return rendezvousKey(upstream, instance) < own;
    }));
}

std::uint32_t slotPart(std::string_view upstream, std::uint32_t slots, std::span<const std::string> instances, std::string_view self)
{
    if (std::find(instances.begin(), instances.end(), self) == instances.end()) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(instances.size());
    return slots / count + (slotRank(upstream, instances, self) < slots % count ? 1 : 0);
}

std::uint32_t roundByHash(double amount, std::string_view upstream, std::string_view self, std::uint64_t period)
{
    const double whole = std::floor(std::max(0.0, amount));
    const std::uint64_t hash = base::stableHash(self, base::stableHash(upstream, period));
    const double unit = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    return static_cast<std::uint32_t>(whole) + (unit < amount - whole ? 1 : 0);
}

} // namespace trefoilstile::upstream
