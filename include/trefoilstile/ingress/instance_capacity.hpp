// What an entry instance can carry, from the limits of its machine.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Limits of the machine of an instance.
struct InstanceResources {
    double processors = 1; ///< of this instance, as a part of one of the usual speed
    double linkMegabits = 1'000; ///< per second, in each direction
};

/// Requests/s at which the first resource of the machine is used up.
inline double instanceCapacity(const InstanceResources &resources)
{
    constexpr double processorSeconds = 0.6e-3; // of one request; docs/measurements/platform.md
    // A large response delays the others on its link, so the link is sized by those and not by the mean of all.
    constexpr double largeResponseBytes = 100e3;
    return std::min(resources.processors / processorSeconds, resources.linkMegabits * 1e6 / 8 / largeResponseBytes);
}

/// Requests per second of late, as a moving average.
class RequestRate
{
public:
    void requestArrived()
    {
        m_arrived += 1;
    }

    /// To be called a few times a second.
    void advance(base::TimePoint now)
    {
        const double elapsed = base::toSeconds(now - m_at);
        if (elapsed > 0) {
            const double kept = std::exp(-elapsed / base::toSeconds(s_memory));
            m_rate = kept * m_rate + (1 - kept) * m_arrived / elapsed;
            m_arrived = 0;
            m_at = now;
        }
    }

    double perSecond() const
    {
        return m_rate;
    }

private:
    /// Callers keep an answer of a lookup for seconds, so they follow a change no faster.
    static constexpr base::Duration s_memory = std::chrono::seconds(5);

    base::TimePoint m_at;
    double m_arrived{};
    double m_rate{};
};

/// Requests/s that an instance can take beyond those it has. Never none: one that is left out of all answers would not be
/// noticed as free again for some seconds.
inline std::uint32_t spareCapacity(double capacity, double rate)
{
    constexpr double leastPart = 0.1;
    return static_cast<std::uint32_t>(std::lround(std::max({capacity - rate, leastPart * capacity, 1.0})));
}

} // namespace trefoilstile::ingress
