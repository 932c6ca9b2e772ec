// Request capacity of an entry instance, derived from the limits of its machine, and its current request rate.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Limits of the machine of an instance.
struct InstanceResources {
    double processors = 1; ///< processors available to the instance, in units of one processor of standard speed
    double linkMegabits = 1'000; ///< Mbit/s in each direction
};

/// Request rate (requests/s) at which the first resource of the machine is exhausted.
inline double instanceCapacity(const InstanceResources &resources)
{
    constexpr double processorSeconds = 0.6e-3; // processor time per request; see docs/measurements/platform.md
    // A large response delays all others on the link, so the link capacity is based on large responses, not on the mean size.
    constexpr double largeResponseBytes = 100e3;
    return std::min(resources.processors / processorSeconds, resources.linkMegabits * 1e6 / 8 / largeResponseBytes);
}

/// Exponential moving average of the request rate.
class RequestRate
{
public:
    void requestArrived()
    {
        m_arrived += 1;
    }

    /// Updates the average. Must be called a few times per second.
    void advance(base::TimePoint now)
    {
        const double elapsed = base::toSeconds(now - m_advancedAt);
        if (elapsed > 0) {
            const double kept = std::exp(-elapsed / base::toSeconds(s_timeConstant));
            m_rate = kept * m_rate + (1 - kept) * m_arrived / elapsed;
            m_arrived = 0;
            m_advancedAt = now;
        }
    }

    double perSecond() const
    {
        return m_rate;
    }

private:
    /// Callers cache a lookup answer for seconds, so a faster average would not steer them any sooner.
    static constexpr base::Duration s_timeConstant = std::chrono::seconds(5);

    base::TimePoint m_advancedAt;
    double m_arrived{}; ///< requests since `m_advancedAt`
    double m_rate{}; ///< requests/s
};

/// Request rate (requests/s) that an instance can accept in addition to its current rate. Never zero: callers would not
/// return for some seconds to an instance that is missing from all lookup answers.
inline std::uint32_t spareCapacity(double capacity, double rate)
{
    constexpr double minimumShare = 0.1;
    return static_cast<std::uint32_t>(std::lround(std::max({capacity - rate, minimumShare * capacity, 1.0})));
}

} // namespace trefoilstile::ingress
