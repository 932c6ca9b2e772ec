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

/// Bytes per second that the link carries in each direction.
inline double linkBytesPerSecond(const InstanceResources &resources)
{
    return resources.linkMegabits * 1e6 / 8;
}

/// Request rate (requests/s) at which the processor is exhausted, from a constant time per request.
inline double processorCapacity(const InstanceResources &resources)
{
    constexpr double processorSeconds = 0.6e-3; // processor time per request; see docs/measurements/platform.md
    return resources.processors / processorSeconds;
}

/// Request rate (requests/s) at which a direction of the link is exhausted, from a constant size.
inline double linkCapacity(const InstanceResources &resources)
{
    // A large response delays all others on the link, so the link capacity is based on large responses, not on the mean size.
    constexpr double largeResponseBytes = 100e3;
    return linkBytesPerSecond(resources) / largeResponseBytes;
}

/// Request rate (requests/s) at which the first resource of the machine is exhausted.
inline double instanceCapacity(const InstanceResources &resources)
{
    return std::min(processorCapacity(resources), linkCapacity(resources));
}

/// Exponential moving average of an amount per second. The quotient of two averages with the same time constant that are advanced
/// at the same times is the moving average of one amount per unit of the other.
class MovingRate
{
public:
    explicit MovingRate(base::Duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void add(double amount)
    {
        m_added += amount;
    }

    /// Updates the average. Must be called a few times per second.
    void advance(base::TimePoint now)
    {
        const double elapsed = base::toSeconds(now - m_advancedAt);
        if (elapsed > 0) {
            const double kept = std::exp(-elapsed / base::toSeconds(m_timeConstant));
            m_rate = kept * m_rate + (1 - kept) * m_added / elapsed;
            m_added = 0;
            m_advancedAt = now;
        }
    }

    double perSecond() const
    {
        return m_rate;
    }

private:
    base::Duration m_timeConstant;
    base::TimePoint m_advancedAt;
    double m_added{}; ///< since `m_advancedAt`
    double m_rate{}; ///< amount per second
};

/// Exponential moving average of the request rate.
class RequestRate
{
public:
    void requestArrived()
    {
        m_rate.add(1);
    }

    /// Updates the average. Must be called a few times per second.
    void advance(base::TimePoint now)
    {
        m_rate.advance(now);
    }

    double perSecond() const
    {
        return m_rate.perSecond();
    }

private:
    /// Callers cache a lookup answer for seconds, so a faster average would not steer them any sooner.
    static constexpr base::Duration s_timeConstant = std::chrono::seconds(5);

    MovingRate m_rate{s_timeConstant};
};

/// Request rate (requests/s) that an instance can accept in addition to its current rate. Never zero: callers would not
/// return for some seconds to an instance that is missing from all lookup answers.
inline std::uint32_t spareCapacity(double capacity, double rate)
{
    constexpr double minimumShare = 0.1;
    return static_cast<std::uint32_t>(std::lround(std::max({capacity - rate, minimumShare * capacity, 1.0})));
}

} // namespace trefoilstile::ingress
