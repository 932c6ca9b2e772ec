// Policies that select one of several upstreams that can all take a request. They work on plain values only.
#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::upstream
{

/// Upstream with at least one free unit of concurrency.
struct Candidate {
    std::size_t index{}; ///< index of the upstream in the set
    std::uint32_t inFlight{}; ///< running attempts of this instance
    std::uint32_t allowed{}; ///< concurrent attempts allowed; more than `inFlight`
    double weight = 1.0; ///< static weight, reduced by failures and the ramp; positive
    double reportedLoad{}; ///< busy and queued requests per slot
    double reportWeight{}; ///< confidence in `reportedLoad`, 0 to 1
};

/// Selects one of the candidates, which are never empty, and returns its position in the span.
template<typename Policy, typename Random>
concept SelectionPolicy = requires(Policy policy, std::span<const Candidate> candidates, Random random)
{
    {
        policy.select(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// Outstanding attempts, including the new one, divided by the weight.
inline double outstanding(const Candidate &candidate)
{
    return (static_cast<double>(candidate.inFlight) + 1.0) / candidate.weight;
}

/// Fraction of the own limit in use, including the new attempt, plus the reported load scaled by its report weight; both
/// divided by the weight.
inline double estimatedLoad(const Candidate &candidate)
{
    const double own = (static_cast<double>(candidate.inFlight) + 1.0) / std::max(1.0, static_cast<double>(candidate.allowed));
    return (own + candidate.reportWeight * candidate.reportedLoad) / candidate.weight;
}

/// Selects the less loaded of two random candidates. Because only two are compared, an outdated report does not make all
/// instances select the same upstream.
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
        return estimatedLoad(candidates[second]) < estimatedLoad(candidates[first]) ? second : first;
    }
};

/// Selects the candidate with the fewest outstanding attempts of this instance relative to its weight. The initial
/// candidate is random and wins a tie.
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

/// Selects the candidate with the lowest estimated load; for split slots, where instances do not compete.
struct LeastLoaded {
    template<base::RandomSource R>
    std::size_t select(std::span<const Candidate> candidates, R &random)
    {
        std::size_t best = base::uniformBelow(random, candidates.size());
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            best = estimatedLoad(candidates[position]) < estimatedLoad(candidates[best]) ? position : best;
        }
        return best;
    }
};

/// Baseline for comparisons: selects the candidates in turn, regardless of their load.
struct RoundRobin {
    std::size_t last = static_cast<std::size_t>(-1); ///< index in the set of the last selected upstream; the maximum value before the first selection

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

/// Default policy for the default options of `UpstreamSet`: best or equal in most runs of bench/policy. With split slots,
/// the number of own attempts is more accurate than a lagging report.
using DefaultSelection = LeastOutstanding;

} // namespace trefoilstile::upstream
