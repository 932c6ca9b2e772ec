// Moving estimates that the scheduler decides on: how long work of a class takes, and how much of it arrives.
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
    void observe(base::Duration held, base::Duration firstByte)
    {
        // A plain mean at first, so that the first sample does not stand for long.
        const double gain = std::max(s_gain, 1.0 / (m_samples + 1.0));
        m_samples += gain > s_gain ? 1.0 : 0.0;
        m_held += gain * (base::toSeconds(held) - m_held);
        m_firstByte += gain * (base::toSeconds(firstByte) - m_firstByte);
    }

    /// Time for which an attempt holds its slot.
    double held(base::Duration prior) const
    {
        return std::max(m_samples > 0.0 ? m_held : base::toSeconds(prior), s_least);
    }

    /// Time to the first byte of the response.
    double firstByte(base::Duration prior) const
    {
        return m_samples > 0.0 ? m_firstByte : base::toSeconds(prior);
    }

private:
    // Follows a change within some hundred attempts. At 1/16, the noise of exponential service times (18%) made urgent
    // demand that fits look like a flood.
    static constexpr double s_gain = 1.0 / 64.0;
    static constexpr double s_least = 1e-5; ///< seconds; keeps rates finite

    double m_held{}; // seconds, as m_firstByte; meaningless while m_samples is 0
    double m_firstByte{};
    double m_samples{};
};

/// Rate of arrivals, rejected ones included, as an exponentially decaying count.
class DemandMeter
{
public:
    void arrived(base::TimePoint now)
    {
        m_count = decayed(now) + 1.0;
        m_at = now;
    }

    /// Arrivals per second.
    double rate(base::TimePoint now) const
    {
        return decayed(now) / s_window;
    }

private:
    // Seconds. Long enough to average a few urgent requests per second, short enough to see a flood within a second.
    static constexpr double s_window = 1.0;

    double decayed(base::TimePoint now) const
    {
        return m_count * std::exp(-std::max(0.0, base::toSeconds(now - m_at)) / s_window);
    }

    double m_count{};
    base::TimePoint m_at;
};

} // namespace trefoilstile::admission
