// Split of each upstream's slots between the instances that use it, the same at every instance without agreement.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilstile::upstream
{

/// Upstream whose slots are split.
struct SplitUpstream {
    std::string_view name;
    std::uint32_t slots{};
};

/// Slots of each upstream that belong to `self`. Each instance gets slots / instances; the rest goes to the instances
/// that have the fewest slots so far, those with equal numbers by rendezvous hashing. The parts of all instances add up
/// to the slots, and their sums over all upstreams differ by at most one: with three slots each, a split by hashing
/// alone left some instances half of what others had. Zeros if `self` is not among the instances.
std::vector<std::uint32_t> slotParts(std::span<const SplitUpstream> upstreams, std::span<const std::string> instances, std::string_view self);

/// Rank of `self` among the instances for that upstream, 0 first.
std::uint32_t slotRank(std::string_view upstream, std::span<const std::string> instances, std::string_view self);

/// `amount` rounded up or down, up with the probability of its fraction. Stable for the same key and period, so that the
/// instances' rounded amounts add up to about the sum of the amounts.
std::uint32_t roundByHash(double amount, std::string_view upstream, std::string_view self, std::uint64_t period);

} // namespace trefoilstile::upstream
