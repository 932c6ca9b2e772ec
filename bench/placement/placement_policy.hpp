// What an emulated entry instance needs of a way to choose upstreams.
#pragma once

#include <concepts>

#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::bench::placement
{

// clang-format off
template<typename T>
concept PlacementPolicy = requires(T policy, const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now)
{
    policy.advance(configuration, now);
    { policy.choose(request, configuration, now) } -> std::same_as<ingress::PlacementResult>;
};
// clang-format on

} // namespace trefoilstile::bench::placement
