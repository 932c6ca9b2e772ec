// What one instance makes of one upstream: its own observations first, load reports weighted by their age.
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

/// Behaviour of the health view. The policy benchmark runs with these numbers; it has not varied them.
struct HealthOptions {
    std::uint32_t failuresToEject = 5; ///< failures in a row
    double failureRateToEject = 0.5; ///< of recent attempts, with at least `attemptsToJudge` of them
    double attemptsToJudge = 10.0;
    base::Duration failureWindow = std::chrono::seconds(10); ///< time constant of the failure rate
    base::Duration firstProbe = std::chrono::seconds(1); ///< from ejection to the first probe; doubles with each failed one
    base::Duration longestProbe = std::chrono::seconds(30);
    double probeJitter = 0.3;
    /// A report in this time is taken at its full weight; measurements lag by up to 5 s, and one may be missing.
    base::Duration reportHold = std::chrono::seconds(12);
    /// From the end of the hold, the report's weight falls to 0 in this time.
    base::Duration reportFade = std::chrono::seconds(30);
    /// Identical reports for this long, while work was sent, are taken as a stopped measurement.
    base::Duration constantReport = std::chrono::seconds(12);
};

/// Health and load of one upstream.
class UpstreamHealth
{
public:
    explicit UpstreamHealth(HealthOptions options = {});

    /// An attempt has ended. Rejections are not failures: the upstream works and says that it is full.
    template<base::RandomSource R>
    void observe(engine::AttemptResult result, base::TimePoint now, R &random)
    {
        record(result, now);
        if (m_ejected && m_probeAt <= now) {
            scheduleProbe(now, random);
        }
    }

    /// Takes a load report.
    void reported(const engine::LoadReported &report, base::TimePoint now);

    /// An attempt of this instance was started; keeps apart an idle upstream and a stopped measurement.
    void started();

    bool ejected() const
    {
        return m_ejected;
    }

    /// True if an ejected upstream is to be probed now.
    bool probeDue(base::TimePoint now) const
    {
        return m_ejected && now >= m_probeAt;
    }

    /// Claims the probe that is due and schedules the next one at a longer, jittered interval.
    template<base::RandomSource R>
    void claimProbe(base::TimePoint now, R &random)
    {
        scheduleProbe(now, random);
    }

    /// True once after a probe or any other attempt brought the upstream back; it then starts slowly.
    bool takeReturned();

    /// Part of recent attempts that failed, 0 to 1.
    double failureRate(base::TimePoint now) const;

    /// True if connects of this instance failed recently and none succeeded since.
    bool connectFailed() const
    {
        return m_connectFailures > 0;
    }

    /// Busy and queued requests per slot as reported, and at least what this instance itself has in flight.
    double reportedLoad(std::uint32_t inFlight) const;

    /// Weight of the report, 0 to 1: full while it is fresh, then falling with its age, less when it looks stopped or
    /// when this instance's own attempts have ended well since.
    double reportWeight(base::TimePoint now) const;

private:
    void record(engine::AttemptResult result, base::TimePoint now);
    void decay(base::TimePoint now);
    void eject(base::TimePoint now);

    template<base::RandomSource R>
    void scheduleProbe(base::TimePoint now, R &random)
    {
        m_probeAt = now + base::jittered(m_probeInterval, m_options.probeJitter, random);
        m_probeInterval = std::min(2 * m_probeInterval, m_options.longestProbe);
    }

    HealthOptions m_options;
    double m_attempts{}; // decayed; m_failures <= m_attempts
    double m_failures{};
    base::TimePoint m_decayedAt;
    std::uint32_t m_consecutiveFailures{};
    std::uint32_t m_connectFailures{};
    bool m_ejected = false;
    bool m_returned = false;
    base::TimePoint m_probeAt;
    base::Duration m_probeInterval;

    std::optional<engine::LoadReported> m_report;
    base::TimePoint m_reportedAt;
    base::TimePoint m_changedAt; // of the last report that differed from the one before; <= m_reportedAt
    bool m_startedSinceChange = false;
    std::uint32_t m_successesSinceReport{};
};

} // namespace trefoilstile::upstream
