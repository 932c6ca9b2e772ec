// Random numbers for decision code, from a source that is passed in so that tests are reproducible.
#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::base
{

/// Source of uniformly distributed 64-bit numbers.
template<typename T>
concept RandomSource = requires(T source)
{
    {
        source.next()
        } -> std::same_as<std::uint64_t>;
};

/// Mixes the bits of a 64-bit number (finalizer of SplitMix64).
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Small generator with a 64-bit state; the same seed gives the same sequence on every machine.
class SplitMix64
{
public:
    explicit constexpr SplitMix64(std::uint64_t seed)
        : m_state(seed)
    {
    }

    constexpr std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        return mixBits(m_state);
    }

private:
    std::uint64_t m_state;
};

/// Uniform number in [0, 1).
template<RandomSource R>
constexpr double uniformUnit(R &random)
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(random.next() >> 11U) * scale;
}

/// Uniform number in [0, bound); `bound` must be positive. The bias is below bound / 2^64.
template<RandomSource R>
constexpr std::uint64_t uniformBelow(R &random, std::uint64_t bound)
{
    return random.next() % bound;
}

/// Span drawn uniformly from span * [1 - spread, 1 + spread], so that callers and nodes do not act at the same time.
template<RandomSource R>
Duration jittered(Duration span, double spread, R &random)
{
    const double factor = 1.0 + spread * (2.0 * uniformUnit(random) - 1.0);
    return Duration(static_cast<Duration::rep>(std::llround(static_cast<double>(span.count()) * factor)));
}

} // namespace trefoilstile::base
