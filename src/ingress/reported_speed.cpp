// Estimate of the speed of an upstream's machine, and how long a reported speed stays valid.

#include "trefoilstile/ingress/reported_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace trefoilstile::ingress
{

namespace
{

constexpr double s_shortestPersistence = 0.05; // seconds; reports of one upstream are rarely closer
constexpr double s_rememberedReports = 2'000; // a change of the mean is learned within some minutes
constexpr double s_rememberedChanges = 500; // a change of the persistence is learned within a minute at ten reports per second
constexpr double s_minimumChanges = 30; // with fewer, one coincidence decides

/// Factors above this number cannot be meant as a percentage; the field was probably filled with something else.
constexpr std::uint64_t s_nonsensePercent = 10'000;

/// Time for which `candidate` assumes that a factor persists, in seconds.
double persistenceOf(std::size_t candidate)
{
    return s_shortestPersistence * static_cast<double>(1U << candidate);
}

} // namespace

std::optional<std::uint32_t> boundedSpeedPercent(std::uint64_t percent)
{
    if (percent == 0 || percent > s_nonsensePercent) {
        return std::nullopt;
    }
    return std::clamp(static_cast<std::uint32_t>(percent), s_minimumSpeedPercent, s_maximumSpeedPercent);
}

void SpeedVariation::observe(double factor)
{
    m_reports = std::min(m_reports + 1, s_rememberedReports);
    m_mean += (factor - m_mean) / m_reports;
}

void SpeedVariation::observeChange(double before, double after, base::Duration gap)
{
    m_changes = std::min(m_changes + 1, s_rememberedChanges);
    for (std::size_t i = 0; i < s_candidates; ++i) {
        const double kept = std::exp(-base::toSeconds(gap) / persistenceOf(i));
        const double error = after - m_mean - kept * (before - m_mean);
        m_errors[i] += error * error - m_errors[i] / s_rememberedChanges;
    }
    if (m_changes >= s_minimumChanges) {
        // The last of equal ones: a value that never changed is used for long.
        m_best = s_candidates - 1 - static_cast<std::size_t>(std::min_element(m_errors.rbegin(), m_errors.rend()) - m_errors.rbegin());
    }
}

double SpeedVariation::weight(base::Duration age) const
{
    return std::exp(-std::abs(base::toSeconds(age)) / persistenceOf(m_best));
}

base::Duration SpeedVariation::persistence() const
{
    return base::fromSeconds(persistenceOf(m_best));
}

void ReportedSpeed::observe(std::uint32_t percent, base::TimePoint at, SpeedVariation &variation)
{
    if (m_reportedAt && at <= *m_reportedAt) {
        return;
    }
    const double factor = static_cast<double>(std::clamp(percent, s_minimumSpeedPercent, s_maximumSpeedPercent)) / 100;
    if (m_reportedAt) {
        variation.observeChange(m_factor, factor, at - *m_reportedAt);
    }
    variation.observe(factor);
    m_factor = factor;
    m_reportedAt = at;
}

double ReportedSpeed::factor(const SpeedVariation &variation, base::TimePoint at) const
{
    const double mean = variation.mean();
    return m_reportedAt ? mean + (m_factor - mean) * variation.weight(at - *m_reportedAt) : mean;
}

} // namespace trefoilstile::ingress
