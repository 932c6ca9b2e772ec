// Tests of the circuit breaker: no burst of requests at the end of an outage, and recovery after it.

#include "trefoilstile/tablestore/circuit_breaker.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile::tablestore;
using namespace trefoilstile::base;

BOOST_AUTO_TEST_SUITE(CircuitBreakers)

// Guards against a burst at the end of an outage and against a breaker that never closes again. For any sequence of
// requests, outcomes and time steps there is at most one probe at a time, none before the backoff has passed, and a probe
// is always permitted after the longest wait.
RC_BOOST_PROP(probesOneAtATimeAndRecovers, (const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps, std::uint64_t seed))
{
    CircuitBreaker breaker;
    SplitMix64 random(seed);
    TimePoint now;
    std::vector<CircuitBreaker::Permit> running;
    bool probing = false;
    for (const auto &[action, milliseconds] : steps) {
        now += std::chrono::milliseconds(milliseconds % 2000);
        if (action % 2 == 0 || running.empty()) {
            const bool wasProbing = probing;
            const auto permit = breaker.tryAcquire(now);
            if (permit) {
                RC_ASSERT(!wasProbing);
                RC_ASSERT(breaker.state() == BreakerState::Closed || now >= breaker.retryAt());
                probing = breaker.state() == BreakerState::HalfOpen;
                running = probing ? std::vector{*permit} : running;
                if (!probing) {
                    running.push_back(*permit);
                }
            }
            continue;
        }
        const auto permit = running.back();
        running.pop_back();
        const BreakerState before = breaker.state();
        if (action % 6 == 1) {
            breaker.recordSuccess(permit);
            RC_ASSERT(before != BreakerState::HalfOpen || breaker.state() == BreakerState::Closed);
        } else if (action % 6 == 3) {
            breaker.recordAbandoned(permit);
        } else {
            breaker.recordFailure(permit, now, random);
            RC_ASSERT(before != BreakerState::HalfOpen || breaker.state() == BreakerState::Open);
            RC_ASSERT(breaker.state() != BreakerState::Open || breaker.retryAt() <= now + breaker.longestWait());
        }
        probing = false;
    }
    if (breaker.state() == BreakerState::Open) {
        RC_ASSERT(breaker.tryAcquire(now + breaker.longestWait()).has_value());
    }
}

// A request that was permitted before the outage and ends late must not close the breaker or end the probe.
BOOST_AUTO_TEST_CASE(lateOutcomesAreIgnored)
{
    CircuitBreaker breaker({.failuresToOpen = 1});
    SplitMix64 random(1);
    const auto early = breaker.tryAcquire(TimePoint());
    const auto other = breaker.tryAcquire(TimePoint());
    breaker.recordFailure(*other, TimePoint(), random);
    const TimePoint later = TimePoint() + breaker.longestWait();
    BOOST_TEST(breaker.tryAcquire(later).has_value());
    breaker.recordSuccess(*early);
    BOOST_TEST((breaker.state() == BreakerState::HalfOpen));
    breaker.recordFailure(*early, later, random);
    BOOST_TEST((breaker.state() == BreakerState::HalfOpen));
    breaker.recordAbandoned(*early);
    BOOST_TEST(!breaker.tryAcquire(later).has_value());
}

// Without jitter all instances would probe at the same time; without growth they would probe a failing platform too often.
BOOST_AUTO_TEST_CASE(backoffIsJitteredAndGrows)
{
    Duration shortest = Duration::max();
    Duration longest{};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CircuitBreaker breaker({.failuresToOpen = 1});
        SplitMix64 random(seed);
        breaker.recordFailure(*breaker.tryAcquire(TimePoint()), TimePoint(), random);
        const Duration first = breaker.retryAt() - TimePoint();
        shortest = std::min(shortest, first);
        longest = std::max(longest, first);
        const TimePoint probe = breaker.retryAt();
        breaker.recordFailure(*breaker.tryAcquire(probe), probe, random);
        BOOST_TEST((breaker.retryAt() - probe).count() > (first / 2).count());
    }
    BOOST_TEST(longest.count() > (shortest * 3 / 2).count());
}

BOOST_AUTO_TEST_SUITE_END()
