// Moving estimates for the scheduler: service times and arrival rate of one class.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::admission
{

/// Moving averages of how long attempts of one class take, in seconds.
class ServiceTimes
{
public:
    void observe(base::Duration holdingTime, base::Duration timeToFirstByte)
    {
        // Arithmetic mean of the first samples, so that the very first one does not dominate the average for long.
        const double gain = std::max(s_gain, 1.0 / (m_samples + 1.0));
        m_samples += gain > s_gain ? 1.0 : 0.0;
        m_holdingTime += gain * (base::toSeconds(holdingTime) - m_holdingTime);
        m_timeToFirstByte += gain * (base::toSeconds(timeToFirstByte) - m_timeToFirstByte);
    }

    /// Time for which an attempt holds its slot; `prior` before the first sample.
    double holdingTime(base::Duration prior) const
    {
        return std::max(m_samples > 0.0 ? m_holdingTime : base::toSeconds(prior), s_minimumHoldingTime);
    }

    /// Time to the first byte of the response; `prior` before the first sample.
    double timeToFirstByte(base::Duration prior) const
    {
        return m_samples > 0.0 ? m_timeToFirstByte : base::toSeconds(prior);
    }

private:
    // Follows a change within about a hundred attempts. With 1/16, the noise of exponential service times (18%) made urgent
    // demand within capacity look like a flood.
    static constexpr double s_gain = 1.0 / 64.0;
    static constexpr double s_minimumHoldingTime = 1e-5; ///< seconds; keeps rates finite

    // Both in seconds, and not valid while m_samples is 0.
    double m_holdingTime{};
    double m_timeToFirstByte{};
    double m_samples{};
};

/// Arrival rate, rejected requests included, from an exponentially decaying count.
class DemandMeter
{
public:
    void arrived(base::TimePoint now)
    {
        m_count = decayed(now) + 1.0;
        m_updatedAt = now;
    }

    /// Arrivals per second.
    double rate(base::TimePoint now) const
    {
        return decayed(now) / s_window;
    }

private:
    // Seconds. Long enough to average a few urgent requests per second, short enough to detect a flood within a second.
    static constexpr double s_window = 1.0;

    double decayed(base::TimePoint now) const
    {
        return m_count * std::exp(-std::max(0.0, base::toSeconds(now - m_updatedAt)) / s_window);
    }

    double m_count{};
    base::TimePoint m_updatedAt;
};

} // namespace trefoilstile::admission
