// Even split of slots by division, counting and rendezvous hashing.

#include "trefoilstile/upstream/slot_split.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
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

std::vector<std::uint32_t> assignedSlots(std::span<const SplitUpstream> upstreams, std::span<const std::string> instances, std::string_view self)
{
    std::vector<std::uint32_t> assigned(upstreams.size(), 0);
    if (std::find(instances.begin(), instances.end(), self) == instances.end()) {
        return assigned;
    }
    // Every instance must process the upstreams in the same order, regardless of the order of its list.
    std::vector<std::size_t> order(upstreams.size());
    std::iota(order.begin(), order.end(), std::size_t{});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return upstreams[left].name < upstreams[right].name;
    });
    const auto count = static_cast<std::uint32_t>(instances.size());
    std::vector<std::uint32_t> extra(instances.size(), 0); // remaining slots assigned to each instance so far
    std::vector<std::size_t> ranked(instances.size());
    std::iota(ranked.begin(), ranked.end(), std::size_t{});
    for (const std::size_t index : order) {
        const SplitUpstream &upstream = upstreams[index];
        std::sort(ranked.begin(), ranked.end(), [&](std::size_t left, std::size_t right) {
            return extra[left] != extra[right] ? extra[left] < extra[right]
                                               : rendezvousKey(upstream.name, instances[left]) < rendezvousKey(upstream.name, instances[right]);
        });
        assigned[index] = upstream.slots / count;
        for (std::uint32_t position = 0; position < upstream.slots % count; ++position) {
            ++extra[ranked[position]];
            assigned[index] += instances[ranked[position]] == self ? 1 : 0;
        }
    }
    return assigned;
}

std::uint32_t roundByHash(double amount, std::string_view upstream, std::string_view self, std::uint64_t period)
{
    const double whole = std::floor(std::max(0.0, amount));
    const std::uint64_t hash = base::stableHash(self, base::stableHash(upstream, period));
    const double unit = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    return static_cast<std::uint32_t>(whole) + (unit < amount - whole ? 1 : 0);
}

} // namespace trefoilstile::upstream
