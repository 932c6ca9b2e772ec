// Adaptive concurrency limit of one upstream as seen by one instance.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::upstream
{

/// Behaviour of the limit. The policy benchmark runs with these numbers; it has not varied them.
struct LimitOptions {
    double timeoutFactor = 0.7; ///< limit after a timeout, rejection or failure
    double latencyFactor = 0.9; ///< limit after a response well above the baseline
    double latencyTolerance = 2.0; ///< multiple of the baseline from which latency counts as high
    /// Reductions are at least this far apart, so that the results of one burst count once.
    base::Duration reductionInterval = std::chrono::milliseconds(200);
    base::Duration relaxation = std::chrono::seconds(20); ///< time constant of the return to the initial value while not in use
};

/// What one attempt says about the upstream's load.
enum class LimitSignal : std::uint8_t {
    Good, ///< responded; the latency tells whether in good time
    Overloaded, ///< timed out, rejected or failed
    None, ///< says nothing, for example a caller that went away
};

/// Limit on attempts at the same time. Grows by about one for each limit's worth of good responses while it is in use,
/// shrinks by a factor on overload.
class ConcurrencyLimit
{
public:
    /// `ceiling` is at least 1 and never exceeded; `initial` is the value that the limit returns to when unused.
    ConcurrencyLimit(double initial, std::uint32_t ceiling, LimitOptions options = {});

    /// Takes another initial value and ceiling, keeping what was learned within them.
    void configure(double initial, std::uint32_t ceiling);

    /// An attempt has ended; `inFlight` includes it.
    void observe(LimitSignal signal, base::PriorityClass priorityClass, base::Duration latency, std::uint32_t inFlight, base::TimePoint now);

    /// Starts the ramp of a cold or returning upstream.
    void startSlow(base::TimePoint now, base::Duration warmUp);

    /// Part of full use that the ramp allows now, 1 when there is none. At least `s_rampFloor`.
    double ramp(base::TimePoint now) const;

    /// Limit without the ramp; between 1 and the ceiling.
    double value() const
    {
        return m_value;
    }

    /// Attempts allowed at the same time, ramp included; at least 1.
    std::uint32_t allowed(base::TimePoint now) const;

    std::uint32_t ceiling() const
    {
        return m_ceiling;
    }

    /// Latency of the class without load, once observed.
    std::optional<base::Duration> baseline(base::PriorityClass priorityClass) const;

private:
    // A cold upstream gets a tenth of its work at once: enough to warm it, and a slow one costs few requests.
    static constexpr double s_rampFloor = 0.1;

    struct Latencies {
        double baseline{}; // seconds; 0 until a whole run has been observed
        double recent{}; // seconds; moving average
        double sum{}; // of the present run
        std::uint32_t count{}; // less than the length of a run
    };

    bool isHigh(base::PriorityClass priorityClass, base::Duration latency);
    void reduce(double factor, base::TimePoint now);

    LimitOptions m_options;
    double m_initial;
    std::uint32_t m_ceiling; // at least 1
    double m_value; // 1 <= m_value <= m_ceiling
    base::PerClass<Latencies> m_latencies;
    std::optional<base::TimePoint> m_reducedAt;
    std::optional<base::TimePoint> m_observedAt;
    std::optional<base::TimePoint> m_rampStart;
    base::Duration m_warmUp{};
};

/// Ceiling of each instance for an upstream, so that all instances together stay within its connections.
std::uint32_t instanceCeiling(std::uint32_t connections, std::uint32_t maximumEntryInstances);

} // namespace trefoilstile::upstream
