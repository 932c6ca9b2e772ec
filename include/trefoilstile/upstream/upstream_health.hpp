// Health and load of one upstream as estimated by one instance from its own attempts and from load reports. Own
// observations take precedence; reports are weighted by their age.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::upstream
{

/// Parameters of the health estimate. The policy benchmark uses these defaults and has not varied them.
struct HealthOptions {
    std::uint32_t failuresToEject = 5; ///< consecutive failures that eject the upstream
    double failureRateToEject = 0.5; ///< fraction of recent attempts; applies from `minimumAttempts` on
    double minimumAttempts = 10.0; ///< recent attempts (decayed) below which the failure rate ejects nothing
    base::Duration failureWindow = std::chrono::seconds(10); ///< time constant of the exponential decay of the failure rate
    base::Duration initialProbeDelay = std::chrono::seconds(1); ///< from ejection to the first probe; the interval then doubles for each probe
    base::Duration maximumProbeInterval = std::chrono::seconds(30);
    double probeJitter = 0.3; ///< relative jitter of the probe intervals
    /// A report keeps its full weight for this time. Measurements lag by up to 5 s, and one may be missing.
    base::Duration reportHold = std::chrono::seconds(12);
    /// After `reportHold`, the weight of the report falls linearly to 0 within this time.
    base::Duration reportFade = std::chrono::seconds(30);
    /// If reports stay identical for longer than this although attempts were started, the measurement counts as stalled.
    base::Duration unchangedReportLimit = std::chrono::seconds(12);
};

/// Health and load of one upstream.
class UpstreamHealth
{
public:
    explicit UpstreamHealth(HealthOptions options = {});

    /// Records the result of an attempt. A rejection is not a failure: the upstream works and reports that it is full.
    template<base::RandomSource R>
    void observe(engine::AttemptResult result, base::TimePoint now, R &random)
    {
        record(result, now);
        if (m_ejected && m_probeAt <= now) {
            scheduleProbe(now, random);
        }
    }

    /// Records a load report.
    void loadReported(const engine::LoadReported &report, base::TimePoint now);

    /// Records that this instance started an attempt. Distinguishes an idle upstream from a stalled measurement.
    void attemptStarted();

    bool ejected() const
    {
        return m_ejected;
    }

    /// True if the upstream is ejected and its next probe is due.
    bool probeDue(base::TimePoint now) const
    {
        return m_ejected && now >= m_probeAt;
    }

    /// Claims the due probe and schedules the next one. The jittered interval doubles up to `maximumProbeInterval`.
    template<base::RandomSource R>
    void claimProbe(base::TimePoint now, R &random)
    {
        scheduleProbe(now, random);
    }

    /// True once after a probe or another attempt has ended the ejection; the caller then starts the slow-start ramp.
    bool takeRecovered();

    /// Fraction of recent attempts that failed, from 0 to below 1.
    double failureRate(base::TimePoint now) const;

    /// True if a connection attempt of this instance failed and no attempt has ended without failure since.
    bool connectFailed() const
    {
        return m_connectFailures > 0;
    }

    /// Reported busy and queued requests per slot, at least `inFlight` of this instance per slot; 0 without a report.
    double reportedLoad(std::uint32_t inFlight) const;

    /// Weight of the report, from 0 to 1. It decreases with the age of the report, and with each attempt of this instance
    /// since then that did not fail. The age of a stalled measurement counts from the last changed report.
    double reportWeight(base::TimePoint now) const;

private:
    void record(engine::AttemptResult result, base::TimePoint now);
    void decay(base::TimePoint now);
    void eject(base::TimePoint now);

    template<base::RandomSource R>
    void scheduleProbe(base::TimePoint now, R &random)
    {
        m_probeAt = now + base::jittered(m_probeInterval, m_options.probeJitter, random);
        m_probeInterval = std::min(2 * m_probeInterval, m_options.maximumProbeInterval);
    }

    HealthOptions m_options;
    double m_attempts{}; // decayed; m_failures <= m_attempts
    double m_failures{};
    base::TimePoint m_decayedAt;
    std::uint32_t m_consecutiveFailures{};
    std::uint32_t m_connectFailures{};
    bool m_ejected = false;
    bool m_recovered = false;
    base::TimePoint m_probeAt;
    base::Duration m_probeInterval;

    std::optional<engine::LoadReported> m_report;
    base::TimePoint m_reportedAt;
    base::TimePoint m_changedAt; // arrival of the last report that differed from its predecessor; <= m_reportedAt
    bool m_startedSinceChange = false;
    std::uint32_t m_successesSinceReport{};
};

} // namespace trefoilstile::upstream
