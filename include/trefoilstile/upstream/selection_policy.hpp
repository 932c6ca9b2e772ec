// Policies that choose between upstreams that may all take a request. They see values only, so each is a few lines.
#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::upstream
{

/// One upstream with a free unit of concurrency.
struct Candidate {
    std::size_t index{}; ///< in the set
    std::uint32_t inFlight{}; ///< attempts of this instance
    std::uint32_t allowed{}; ///< more than `inFlight`, except for a request beyond the limit
    double weight = 1.0; ///< static weight, lowered by failures and the ramp; positive
    double reportedLoad{}; ///< busy and queued requests per slot
    double reportWeight{}; ///< 0 to 1
};

/// Chooses one of the candidates (never empty) and returns its position in the span.
template<typename Policy, typename Random>
concept SelectionPolicy = requires(Policy policy, std::span<const Candidate> candidates, Random random)
{
    {
        policy.select(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// Outstanding attempts with the new one, per weight.
inline double outstanding(const Candidate &candidate)
{
    return (static_cast<double>(candidate.inFlight) + 1.0) / candidate.weight;
}

/// Part of the own limit in use with the new attempt, plus the reported load as far as it can be believed.
inline double believedLoad(const Candidate &candidate)
{
    const double own = (static_cast<double>(candidate.inFlight) + 1.0) / std::max(1.0, static_cast<double>(candidate.allowed));
    return (own + candidate.reportWeight * candidate.reportedLoad) / candidate.weight;
}

/// The less loaded of two drawn at random. Since only two are compared, a lagging report draws no herd to one upstream.
struct PowerOfTwoChoices {
    template<base::RandomSource R>
    std::size_t select(std::span<const Candidate> candidates, R &random)
    {
        if (candidates.size() == 1) {
            return 0;
        }
        const std::size_t first = base::uniformBelow(random, candidates.size());
        std::size_t second = base::uniformBelow(random, candidates.size() - 1);
        second += second >= first ? 1 : 0;
        return believedLoad(candidates[second]) < believedLoad(candidates[first]) ? second : first;
    }
};

/// The one with the fewest outstanding attempts of this instance for its weight; ties are drawn at random.
struct LeastOutstanding {
    template<base::RandomSource R>
    std::size_t select(std::span<const Candidate> candidates, R &random)
    {
        std::size_t best = base::uniformBelow(random, candidates.size());
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            best = outstanding(candidates[position]) < outstanding(candidates[best]) ? position : best;
        }
        return best;
    }
};

/// The one with the least believed load of all; for use with split slots, where instances do not compete.
struct LeastLoaded {
    template<base::RandomSource R>
    std::size_t select(std::span<const Candidate> candidates, R &random)
    {
        std::size_t best = base::uniformBelow(random, candidates.size());
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            best = believedLoad(candidates[position]) < believedLoad(candidates[best]) ? position : best;
        }
        return best;
    }
};

/// Baseline: the upstreams in turn, whatever their state.
struct RoundRobin {
    std::size_t last = static_cast<std::size_t>(-1); ///< index in the set

    template<base::RandomSource R>
    std::size_t select(std::span<const Candidate> candidates, R &)
    {
        std::size_t chosen = 0;
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (last != static_cast<std::size_t>(-1) && candidates[position].index > last) {
                chosen = position;
                break;
            }
        }
        last = candidates[chosen].index;
        return chosen;
    }
};

/// The policy to use with the default options of `UpstreamSet`. Best or equal in most runs of bench/policy; with split
/// slots the own count says more than a report that lags.
using DefaultSelection = LeastOutstanding;

} // namespace trefoilstile::upstream
