// Splits the slots of each upstream between instances. Every instance computes the same split without communication.
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

/// Number of slots of each upstream that are assigned to `self`. Each instance gets slots / instances; the remaining slots
/// go to the instances that have received the fewest remaining slots so far, and ties are resolved by rendezvous hashing.
/// The slots of all instances add up to the slots of the upstream, and the totals of the instances differ by at most one.
/// Hashing alone was uneven: with three slots for each upstream, some instances got half as many slots as others. All
/// zeros if `self` is not among the instances.
std::vector<std::uint32_t> assignedSlots(std::span<const SplitUpstream> upstreams, std::span<const std::string> instances, std::string_view self);

/// Rank of `self` among the instances in the rendezvous order of that upstream; 0 is first.
std::uint32_t slotRank(std::string_view upstream, std::span<const std::string> instances, std::string_view self);

/// Rounds `amount` up with a probability equal to its fractional part, down otherwise, so that the rounded amounts of all
/// instances add up to about the sum of the amounts. The result is the same for the same names and `period`.
std::uint32_t roundByHash(double amount, std::string_view upstream, std::string_view self, std::uint64_t period);

} // namespace trefoilstile::upstream
