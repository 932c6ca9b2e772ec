// Adaptive concurrency limit of one upstream.

#include "trefoilstile/upstream/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::upstream
{

namespace
{

// The baseline is the lowest mean latency of a window of attempts. Single attempts with exponentially distributed service
// times vary too much: a baseline that followed them reduced the limit without load. The baseline rises slowly, so that a
// period of load does not raise it noticeably, while a lasting change raises it within a few thousand responses.
constexpr std::uint32_t s_baselineWindow = 64;
constexpr double s_baselineRise = 1.02; // maximum factor per window
constexpr double s_recentGain = 1.0 / 32.0; // of the moving average

// Fraction of the limit from which it counts as in use.
constexpr double s_inUse = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(double initial, std::uint32_t ceiling, LimitOptions options)
    : m_options(options)
    , m_initial(1.0)
    , m_ceiling(1)
    , m_value(1.0)
{
    configure(initial, ceiling);
}

void ConcurrencyLimit::configure(double initial, std::uint32_t ceiling)
{
    // A limit that overload has not reduced below its initial value rises with the initial value, for example when another
    // instance stops sharing the upstream.
    const bool reduced = m_value < m_initial;
    m_ceiling = std::max(ceiling, 1U);
    m_initial = std::clamp(initial, 1.0, static_cast<double>(m_ceiling));
    m_value = std::clamp(reduced ? m_value : std::max(m_value, m_initial), 1.0, static_cast<double>(m_ceiling));
}

void ConcurrencyLimit::observe(LimitSignal signal, base::PriorityClass priorityClass, base::Duration latency, std::uint32_t inFlight, base::TimePoint now)
{
    const bool inUse = static_cast<double>(inFlight) >= s_inUse * std::floor(m_value);
    if (!inUse && m_observedAt) {
        const double elapsed = std::max(0.0, base::toSeconds(now - *m_observedAt));
        m_value += (m_initial - m_value) * (1.0 - std::exp(-elapsed / base::toSeconds(m_options.relaxation)));
    }
    m_observedAt = now;
    if (signal == LimitSignal::Overloaded) {
        reduce(m_options.timeoutFactor, now);
    } else if (signal == LimitSignal::Good) {
        if (isLatencyHigh(priorityClass, latency)) {
            reduce(m_options.latencyFactor, now);
        } else if (inUse) {
            m_value = std::min(m_value + 1.0 / m_value, static_cast<double>(m_ceiling));
        }
    }
}

bool ConcurrencyLimit::isLatencyHigh(base::PriorityClass priorityClass, base::Duration latency)
{
    Latencies &latencies = m_latencies[priorityClass];
    const double sample = base::toSeconds(latency);
    latencies.sum += sample;
    ++latencies.count;
    const bool first = latencies.baseline <= 0.0;
    if (first) {
        latencies.recent = latencies.sum / latencies.count;
    } else {
        latencies.recent += s_recentGain * (sample - latencies.recent);
    }
    if (latencies.count == s_baselineWindow) {
        const double mean = latencies.sum / s_baselineWindow;
        latencies.baseline = first ? mean : std::min(mean, latencies.baseline * s_baselineRise);
        latencies.sum = 0.0;
        latencies.count = 0;
    }
    return !first && latencies.recent > m_options.latencyTolerance * latencies.baseline;
}

void ConcurrencyLimit::reduce(double factor, base::TimePoint now)
{
    if (m_reducedAt && now - *m_reducedAt < m_options.reductionInterval) {
        return;
    }
    m_reducedAt = now;
    m_value = std::max(1.0, m_value * factor);
}

void ConcurrencyLimit::startRamp(base::TimePoint now, base::Duration warmUp)
{
    m_rampStart = now;
    m_warmUp = warmUp;
}

double ConcurrencyLimit::ramp(base::TimePoint now) const
{
    if (!m_rampStart || m_warmUp <= base::Duration(0) || now >= *m_rampStart + m_warmUp) {
        return 1.0;
    }
    const double progress = base::toSeconds(now - *m_rampStart) / base::toSeconds(m_warmUp);
    return s_rampFloor + (1.0 - s_rampFloor) * std::clamp(progress, 0.0, 1.0);
}

std::uint32_t ConcurrencyLimit::allowed(base::TimePoint now) const
{
    return std::max(1U, static_cast<std::uint32_t>(m_value * ramp(now) + 1e-9));
}

std::optional<base::Duration> ConcurrencyLimit::baseline(base::PriorityClass priorityClass) const
{
    const double baseline = m_latencies[priorityClass].baseline;
    if (baseline <= 0.0) {
        return std::nullopt;
    }
    return base::fromSeconds(baseline);
}

std::uint32_t instanceCeiling(std::uint32_t connections, std::uint32_t maximumEntryInstances)
{
    return std::max(1U, connections / std::max(1U, maximumEntryInstances));
}

} // namespace trefoilstile::upstream
