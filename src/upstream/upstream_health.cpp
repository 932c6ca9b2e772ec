// Ejection, failure rate and report weight of one upstream.

#include "trefoilstile/upstream/upstream_health.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoilstile::upstream
{

namespace
{

// Number of own attempts without failure since a report that halves its weight. They are newer than the report and measure
// the path from this instance directly.
constexpr double s_successesToHalve = 16.0;

bool sameLoad(const engine::LoadReported &left, const engine::LoadReported &right)
{
    return left.incarnation == right.incarnation && left.state == right.state && left.slots == right.slots && left.busy == right.busy
        && left.queued == right.queued;
}

} // namespace

UpstreamHealth::UpstreamHealth(HealthOptions options)
    : m_options(options)
    , m_probeInterval(options.initialProbeDelay)
{
}

void UpstreamHealth::record(engine::AttemptResult result, base::TimePoint now)
{
    using engine::AttemptResult;
    decay(now);
    const bool failed =
        result == AttemptResult::Failed || result == AttemptResult::TimedOut || result == AttemptResult::NothingSent || result == AttemptResult::Broken;
    m_attempts += 1.0;
    if (failed) {
        m_failures += 1.0;
        ++m_consecutiveFailures;
        if (result == AttemptResult::NothingSent) {
            ++m_connectFailures;
        }
        const bool rateExceeded = m_attempts >= m_options.minimumAttempts && m_failures > m_options.failureRateToEject * m_attempts;
        if (!m_ejected && (rateExceeded || m_consecutiveFailures >= m_options.failuresToEject)) {
            eject(now);
        }
        return;
    }
    m_consecutiveFailures = 0;
    m_connectFailures = 0;
    ++m_successesSinceReport;
    if (m_ejected) {
        m_ejected = false;
        m_recovered = true;
        m_attempts = 0.0;
        m_failures = 0.0;
        m_probeInterval = m_options.initialProbeDelay;
    }
}

void UpstreamHealth::eject(base::TimePoint now)
{
    m_ejected = true;
    m_recovered = false;
    m_probeInterval = m_options.initialProbeDelay;
    m_probeAt = now; // `observe` then schedules the probe with jitter
}

void UpstreamHealth::decay(base::TimePoint now)
{
    const double factor = std::exp(-std::max(0.0, base::toSeconds(now - m_decayedAt)) / base::toSeconds(m_options.failureWindow));
    m_attempts *= factor;
    m_failures *= factor;
    m_decayedAt = now;
}

void UpstreamHealth::loadReported(const engine::LoadReported &report, base::TimePoint now)
{
    if (!m_report || !sameLoad(*m_report, report)) {
        m_changedAt = now;
        m_startedSinceChange = false;
    }
    m_report = report;
    m_reportedAt = now;
    m_successesSinceReport = 0;
}

void UpstreamHealth::attemptStarted()
{
    m_startedSinceChange = true;
}

bool UpstreamHealth::takeRecovered()
{
    return std::exchange(m_recovered, false);
}

double UpstreamHealth::failureRate(base::TimePoint now) const
{
    // Adds one assumed success, so that a single failure of a rarely used upstream does not give a failure rate of 1.
    const double factor = std::exp(-std::max(0.0, base::toSeconds(now - m_decayedAt)) / base::toSeconds(m_options.failureWindow));
    return m_failures * factor / (m_attempts * factor + 1.0);
}

double UpstreamHealth::reportedLoad(std::uint32_t inFlight) const
{
    if (!m_report) {
        return 0.0;
    }
    const double slots = std::max(1.0, static_cast<double>(m_report->slots));
    return static_cast<double>(std::max(m_report->busy + m_report->queued, inFlight)) / slots;
}

double UpstreamHealth::reportWeight(base::TimePoint now) const
{
    if (!m_report) {
        return 0.0;
    }
    const bool stalled = m_startedSinceChange && m_reportedAt - m_changedAt > m_options.unchangedReportLimit;
    const base::Duration age = now - (stalled ? m_changedAt : m_reportedAt);
    const double fadeProgress = base::toSeconds(age - m_options.reportHold) / base::toSeconds(m_options.reportFade);
    const double ownFactor = s_successesToHalve / (s_successesToHalve + static_cast<double>(m_successesSinceReport));
    return std::clamp(1.0 - fadeProgress, 0.0, 1.0) * ownFactor;
}

} // namespace trefoilstile::upstream
