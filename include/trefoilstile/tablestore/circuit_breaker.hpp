// Circuit breaker: stops requests to a platform that fails, and probes it one request at a time.
#pragma once

#include <cstdint>
#include <optional>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::tablestore
{

struct CircuitBreakerOptions {
    /// Failures in a row that open the breaker. One lost packet must not, and at 2 s each a third brings no news.
    std::uint32_t failuresToOpen = 3;
    base::Duration firstBackoff = std::chrono::milliseconds(250);
    /// A document accepted right after an outage must be in effect within 5 s; this leaves 1 s for its dissemination.
    base::Duration maximumBackoff = std::chrono::seconds(3);
    /// Spread of the backoff as a share of it, 0 to 1, so that instances do not return all at once.
    double jitter = 0.3;
};

enum class BreakerState : std::uint8_t { Closed, Open, HalfOpen };

/// Decides whether a request may be made. The embedder reports the end of each request that was allowed.
class CircuitBreaker
{
public:
    /// Permission for one request, handed back with its outcome.
    struct Permit {
        std::uint64_t epoch{};
    };

    explicit CircuitBreaker(CircuitBreakerOptions options = {});

    /// Permission to make a request now, or nothing. While half-open there is one at a time.
    std::optional<Permit> tryAcquire(base::TimePoint now);

    /// The platform answered.
    void recordSuccess(Permit permit);

    /// The platform could not be reached, did not answer in time or failed.
    template<base::RandomSource R>
    void recordFailure(Permit permit, base::TimePoint now, R &random)
    {
        recordFailure(permit, now, base::jittered(m_backoff, m_options.jitter, random));
    }

    /// The request ended without saying anything about the platform. If it was the probe, another may be made at once.
    void recordAbandoned(Permit permit);

    /// State as of the last call.
    BreakerState state() const;

    /// While open: earliest time of the next probe.
    base::TimePoint retryAt() const;

    /// Longest possible wait between two probes.
    base::Duration longestWait() const;

private:
    void recordFailure(Permit permit, base::TimePoint now, base::Duration wait);
    void enter(BreakerState state);

    CircuitBreakerOptions m_options;
    BreakerState m_state = BreakerState::Closed;
    bool m_probing = false; ///< only while half-open
    std::uint32_t m_failures{}; ///< in a row; only while closed
    base::Duration m_backoff; ///< of the next opening, before jitter; at most `maximumBackoff`
    base::TimePoint m_retryAt;
    std::uint64_t m_epoch{}; ///< changes with the state, so that outcomes of requests from before are ignored
};

} // namespace trefoilstile::tablestore
