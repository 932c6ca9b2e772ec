// Shuffled round robin: each target is returned once per round, and each round has a new order.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::membership
{

/// Iterates over a changing set of targets. A target that stays in the set is visited at least once in two rounds, which
/// bounds the time until a given node detects its failure.
template<typename T>
class ProbeRound
{
public:
    /// Next target that `targets` contains, or nothing if it is empty.
    template<base::RandomSource R>
    std::optional<T> next(const std::vector<T> &targets, R &random)
    {
        for (int attempt = 0; attempt < 2; ++attempt) {
            while (!m_order.empty()) {
                T candidate = std::move(m_order.back());
                m_order.pop_back();
                if (std::find(targets.begin(), targets.end(), candidate) != targets.end()) {
                    return candidate;
                }
            }
            m_order = targets;
            for (std::size_t i = m_order.size(); i > 1; --i) {
                std::swap(m_order[i - 1], m_order[base::uniformBelow(random, i)]);
            }
        }
        return std::nullopt;
    }

private:
    std::vector<T> m_order; ///< rest of the current round; the next target is last
};

} // namespace trefoilstile::membership
