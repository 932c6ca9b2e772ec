// State transitions of the circuit breaker.

#include "trefoilstile/tablestore/circuit_breaker.hpp"

#include <algorithm>

namespace trefoilstile::tablestore
{

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions options)
    : m_options(options)
    , m_backoff(options.firstBackoff)
{
}

std::optional<CircuitBreaker::Permit> CircuitBreaker::tryAcquire(base::TimePoint now)
{
    if (m_state == BreakerState::Open && now >= m_retryAt) {
        transitionTo(BreakerState::HalfOpen);
    }
    if (m_state == BreakerState::Open || m_probing) {
        return std::nullopt;
    }
    m_probing = m_state == BreakerState::HalfOpen;
    return Permit{m_epoch};
}

void CircuitBreaker::recordSuccess(Permit permit)
{
    if (permit.epoch != m_epoch) {
        return;
    }
    m_failures = 0;
    if (m_state == BreakerState::HalfOpen) {
        m_backoff = m_options.firstBackoff;
        transitionTo(BreakerState::Closed);
    }
}

void CircuitBreaker::recordFailure(Permit permit, base::TimePoint now, base::Duration wait)
{
    if (permit.epoch != m_epoch) {
        return;
    }
    ++m_failures;
    if (m_state == BreakerState::HalfOpen || m_failures >= m_options.failuresToOpen) {
        m_retryAt = now + wait;
        m_backoff = std::min(m_backoff * 2, m_options.maximumBackoff);
        transitionTo(BreakerState::Open);
    }
}

void CircuitBreaker::recordAbandoned(Permit permit)
{
    if (permit.epoch == m_epoch) {
        m_probing = false;
    }
}

BreakerState CircuitBreaker::state() const
{
    return m_state;
}

base::TimePoint CircuitBreaker::retryAt() const
{
    return m_retryAt;
}

base::Duration CircuitBreaker::longestWait() const
{
    const double factor = 1.0 + m_options.jitter;
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, base::Duration::period>(m_options.maximumBackoff) * factor);
}

void CircuitBreaker::transitionTo(BreakerState state)
{
    m_state = state;
    m_probing = false;
    m_failures = 0;
    ++m_epoch;
}

} // namespace trefoilstile::tablestore
