// Moving estimates that the scheduler decides on: how long work of a class takes, and how much of it arrives.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::admission
{

/// Moving averages of how long attempts of one class take, in seconds.
class ServiceTimes
{
public:
    void observe(base::Duration held, base::Duration firstByte)
    {
        m_held = blend(m_held, base::toSeconds(held));
        m_firstByte = blend(m_firstByte, base::toSeconds(firstByte));
    }

    /// Time for which an attempt holds its slot.
    double held(base::Duration prior) const
    {
        return std::max(m_held.value_or(base::toSeconds(prior)), s_least);
    }

    /// Time to the first byte of the response.
    double firstByte(base::Duration prior) const
    {
        return m_firstByte.value_or(base::toSeconds(prior));
    }

private:
    // 1/16 follows a change within some tens of attempts and keeps the noise of single ones down.
    static constexpr double s_gain = 1.0 / 16.0;
    static constexpr double s_least = 1e-5; ///< seconds; keeps rates finite

    static std::optional<double> blend(std::optional<double> mean, double sample)
    {
        return mean ? *mean + s_gain * (sample - *mean) : sample;
    }

    std::optional<double> m_held;
    std::optional<double> m_firstByte;
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
