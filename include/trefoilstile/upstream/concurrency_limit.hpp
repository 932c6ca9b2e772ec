// Adaptive concurrency limit that one instance keeps for one upstream.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::upstream
{

/// Parameters of the limit. The policy benchmark uses these defaults and has not varied them.
struct LimitOptions {
    double timeoutFactor = 0.7; ///< factor on the limit after a timeout, rejection or failure
    double latencyFactor = 0.9; ///< factor on the limit after a response with high latency
    double latencyTolerance = 2.0; ///< multiple of the baseline latency above which latency counts as high
    /// Minimum time between reductions, so that the results of one burst reduce the limit only once.
    base::Duration reductionInterval = std::chrono::milliseconds(200);
    base::Duration relaxation = std::chrono::seconds(20); ///< time constant with which an unused limit returns to its initial value
};

/// Load signal from the result of one attempt.
enum class LimitSignal : std::uint8_t {
    Good, ///< responded; the latency decides whether the upstream is overloaded
    Overloaded, ///< timed out, rejected or failed
    None, ///< no information about the load, for example because the caller disconnected
};

/// Limit on concurrent attempts, adjusted by additive increase and multiplicative decrease. While the limit is in use, it
/// grows by about one after as many good responses as its value; overload reduces it by a factor.
class ConcurrencyLimit
{
public:
    /// @param initial value to which the limit returns while unused
    /// @param ceiling upper bound of the limit; 0 is taken as 1
    ConcurrencyLimit(double initial, std::uint32_t ceiling, LimitOptions options = {});

    /// Changes the initial value and the ceiling. A limit that overload has reduced below the initial value is kept, any other
    /// rises at least to `initial`. The limit stays between 1 and the ceiling.
    void configure(double initial, std::uint32_t ceiling);

    /// Adjusts the limit after an attempt has ended. `inFlight` includes that attempt.
    void observe(LimitSignal signal, base::PriorityClass priorityClass, base::Duration latency, std::uint32_t inFlight, base::TimePoint now);

    /// Starts the slow-start ramp of a cold or returning upstream; it lasts for `warmUp`.
    void startRamp(base::TimePoint now, base::Duration warmUp);

    /// Fraction of the limit that the ramp allows now, from `s_rampFloor` to 1; 1 when no ramp is active.
    double ramp(base::TimePoint now) const;

    /// Limit without the ramp, from 1 to the ceiling.
    double value() const
    {
        return m_value;
    }

    /// Concurrent attempts allowed now, ramp included; at least 1.
    std::uint32_t allowed(base::TimePoint now) const;

    std::uint32_t ceiling() const
    {
        return m_ceiling;
    }

    /// Latency of the class without load; nothing until enough attempts have been observed.
    std::optional<base::Duration> baseline(base::PriorityClass priorityClass) const;

private:
    // A cold upstream starts with a tenth of its limit: enough to warm it up, while a slow one delays few requests.
    static constexpr double s_rampFloor = 0.1;

    struct Latencies {
        double baseline{}; // seconds; 0 until the first window is complete
        double recent{}; // seconds; moving average
        double sum{}; // seconds; of the current window
        std::uint32_t count{}; // samples in the current window; less than its length
    };

    bool isLatencyHigh(base::PriorityClass priorityClass, base::Duration latency);
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

/// Ceiling for each instance, so that all instances together stay within the connections of the upstream. At least 1.
std::uint32_t instanceCeiling(std::uint32_t connections, std::uint32_t maximumEntryInstances);

} // namespace trefoilstile::upstream
