// Circuit breaker: stops requests to a platform that fails, and probes it one request at a time.
#pragma once

#include <cstdint>
#include <optional>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::tablestore
{

struct CircuitBreakerOptions {
    /// Consecutive failures that open the breaker. A single lost packet must not open it, and at 2 s per time-out a higher
    /// threshold would delay opening without giving more information.
    std::uint32_t failuresToOpen = 3;
    base::Duration firstBackoff = std::chrono::milliseconds(250);
    /// A document accepted right after an outage must be in effect within 5 s; this maximum leaves 1 s for its dissemination.
    base::Duration maximumBackoff = std::chrono::seconds(3);
    /// Jitter as a fraction of the backoff, 0 to 1, so that instances do not probe simultaneously after an outage.
    double jitter = 0.3;
};

enum class BreakerState : std::uint8_t { Closed, Open, HalfOpen };

/// Decides whether a request may be made. The caller of this class reports the outcome of each permitted request.
class CircuitBreaker
{
public:
    /// Permission for one request; passed back when its outcome is recorded.
    struct Permit {
        std::uint64_t epoch{};
    };

    explicit CircuitBreaker(CircuitBreakerOptions options = {});

    /// Returns a permit for a request at `now`, or nothing. While half-open, at most one permit is outstanding.
    std::optional<Permit> tryAcquire(base::TimePoint now);

    /// Records that the platform answered.
    void recordSuccess(Permit permit);

    /// Records that the platform could not be reached, did not answer in time or failed.
    template<base::RandomSource R>
    void recordFailure(Permit permit, base::TimePoint now, R &random)
    {
        recordFailure(permit, now, base::jittered(m_backoff, m_options.jitter, random));
    }

    /// Records that the request ended without information about the platform's health. If it was the probe, another may be
    /// made immediately.
    void recordAbandoned(Permit permit);

    /// State as of the last call.
    BreakerState state() const;

    /// Earliest time of the next probe; meaningful only while open.
    base::TimePoint retryAt() const;

    /// Longest possible wait between two probes.
    base::Duration longestWait() const;

private:
    void recordFailure(Permit permit, base::TimePoint now, base::Duration wait);
    void transitionTo(BreakerState state);

    CircuitBreakerOptions m_options;
    BreakerState m_state = BreakerState::Closed;
    bool m_probing = false; ///< only while half-open
    std::uint32_t m_failures{}; ///< consecutive failures; only while closed
    base::Duration m_backoff; ///< backoff of the next transition to open, before jitter; at most `maximumBackoff`
    base::TimePoint m_retryAt;
    std::uint64_t m_epoch{}; ///< incremented on each state change, so that outcomes of requests permitted in an earlier state are ignored
};

} // namespace trefoilstile::tablestore
