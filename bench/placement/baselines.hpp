// Simple ways to choose an upstream, to compare the placement of the product with.
//
// All take the upstreams of the own region, and those of all regions when none of these has room. They see the same beliefs
// about loads as the product does.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::bench::placement
{

/// Upstreams that a request may go to, and the first of them by some order.
class Baseline
{
public:
    Baseline(ingress::UpstreamTable &upstreamTable, std::string region)
        : m_upstreamTable(upstreamTable)
        , m_region(std::move(region))
    {
    }

    void advance(const ingress::Configuration &, base::TimePoint)
    {
    }

protected:
    using Pointer = ingress::UpstreamTable::Pointer;

    /// Usable upstreams with room, of the own region or else of all.
    std::vector<Pointer> withRoom(const ingress::PlacementRequest &request, base::TimePoint now) const;

    ingress::PlacementResult take(const ingress::PlacementRequest &request, const Pointer &upstream, base::TimePoint now) const;

    double loadPerSlot(const ingress::Upstream &upstream, base::TimePoint now) const;

    ingress::UpstreamTable &m_upstreamTable;
    std::string m_region;
};

/// The less loaded of two upstreams that are drawn at random.
class PowerOfTwoChoices : public Baseline
{
public:
    PowerOfTwoChoices(ingress::UpstreamTable &upstreamTable, std::string region, std::uint64_t seed)
        : Baseline(upstreamTable, std::move(region))
        , m_random(seed)
    {
    }

    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now);

private:
    base::SplitMix64 m_random;
};

/// The less loaded of the two upstreams with room that are ranked first for the key, so that each object is kept by few upstreams.
class PowerOfTwoByKey : public Baseline
{
public:
    using Baseline::Baseline;
    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now);
};

/// Each upstream in turn.
class RoundRobin : public Baseline
{
public:
    using Baseline::Baseline;
    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now);

private:
    std::size_t m_next{};
};

/// The upstream with the least load for its slots.
class LeastLoad : public Baseline
{
public:
    using Baseline::Baseline;
    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now);
};

/// The first upstream by the hash of the key whose load is at most a quarter above the mean.
class BoundedLoadHash : public Baseline
{
public:
    using Baseline::Baseline;
    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now);
};

} // namespace trefoilstile::bench::placement
