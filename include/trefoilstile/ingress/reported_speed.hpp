// Estimates how much slower than usual an upstream's machine works, from the speed that the upstream reports in responses.
//
// A reported value is outdated after some time. The estimate therefore moves from the last value to the mean of the service as
// the value ages, at the rate at which the values of the service's upstreams were seen to lose their relation to later ones. A
// steady value stays in use for minutes, one that changes several times per second for a fraction of a second.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Bounds of the reported speed, which limit the effect of a wrong value. Machines slow down by a factor of 2 to 3 under load of
/// their neighbours; a value below the lower bound would attract the work of all other upstreams.
inline constexpr std::uint32_t s_minimumSpeedPercent = 50;
inline constexpr std::uint32_t s_maximumSpeedPercent = 500;

/// Speed in percent of the usual time of work, within the bounds. Nothing if the number cannot be a speed.
std::optional<std::uint32_t> boundedSpeedPercent(std::uint64_t percent);

/// How the reported speed of a service's upstreams varies. Shared by the upstreams of the service, because one upstream reports
/// to one instance too rarely to learn it alone.
class SpeedVariation
{
public:
    /// Records a reported factor.
    void observe(double factor);

    /// Records two successive factors of one upstream.
    /// @param gap time between the two reports
    void observeChange(double before, double after, base::Duration gap);

    /// Mean factor of the reports; 1 before the first.
    double mean() const
    {
        return m_mean;
    }

    /// Weight of a factor that was reported `age` ago, between 0 and 1; the mean has the rest.
    double weight(base::Duration age) const;

    /// Time in which the weight of a report falls to 1/e.
    base::Duration persistence() const;

private:
    /// Persistences that are compared, each twice the one before, from 50 ms to 102 s.
    static constexpr std::size_t s_candidates = 12;

    double m_mean = 1;
    /// Number of reports in `m_mean`, bounded. It starts with assumed ones of the usual speed, so that the first upstream that
    /// reports does not determine what is expected of all others.
    double m_reports = 20;
    double m_changes{}; ///< number of pairs in `m_errors`, bounded
    std::array<double, s_candidates> m_errors{}; ///< decayed squared errors of the prediction of the later factor, by persistence
    std::size_t m_best = s_initial;

    /// 800 ms, assumed until enough changes were seen: work of the same length was slowed down by phases of 600 ms.
    static constexpr std::size_t s_initial = 4;
};

/// Reported speed of one upstream.
class ReportedSpeed
{
public:
    /// Records a speed that the upstream reported at a time. A report that is older than the last one is ignored.
    void observe(std::uint32_t percent, base::TimePoint at, SpeedVariation &variation);

    /// Expected factor by which work takes longer than usual at a time, before or after the last report. 1 if no upstream of the
    /// service has reported a speed.
    double factor(const SpeedVariation &variation, base::TimePoint at) const;

    bool known() const
    {
        return m_reportedAt.has_value();
    }

private:
    double m_factor = 1; ///< last reported
    std::optional<base::TimePoint> m_reportedAt;
};

} // namespace trefoilstile::ingress
