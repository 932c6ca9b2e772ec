// Split of each upstream's slots between the instances that use it, the same at every instance without agreement.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace trefoilstile::upstream
{

/// Slots of the upstream that belong to `self`. The instances are ranked by rendezvous hashing for each upstream; each
/// gets slots / instances, and the first ones one more of the rest. The parts add up to `slots`. 0 if `self` is not
/// among the instances.
std::uint32_t slotPart(std::string_view upstream, std::uint32_t slots, std::span<const std::string> instances, std::string_view self);

/// Rank of `self` among the instances for that upstream, 0 first.
std::uint32_t slotRank(std::string_view upstream, std::span<const std::string> instances, std::string_view self);

/// `amount` rounded up or down, up with the probability of its fraction. Stable for the same key and period, so that the
/// instances' rounded amounts add up to about the sum of the amounts.
std::uint32_t roundByHash(double amount, std::string_view upstream, std::string_view self, std::uint64_t period);

} // namespace trefoilstile::upstream
