// Tests of the concurrency limit: it must not overload an upstream, stay too low after an overload, or give a cold upstream
// its full load at once.

#include "trefoilstile/upstream/concurrency_limit.hpp"

#include <cmath>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/base/random.hpp"

using namespace trefoilstile;
using namespace trefoilstile::upstream;
using namespace std::chrono_literals;
using base::PriorityClass;

BOOST_AUTO_TEST_SUITE(ConcurrencyLimits)

// All instances together must stay within the connections of the upstream. A limit that any sequence of results moves above
// its ceiling would break this.
RC_BOOST_PROP(staysBetweenOneAndTheCeiling, (const std::vector<std::array<std::uint8_t, 3>> &events, std::uint16_t connections, std::uint8_t instances))
{
    const std::uint32_t ceiling = instanceCeiling(connections, instances);
    RC_ASSERT(instances == 0 || ceiling == 1 || ceiling * instances <= connections);
    ConcurrencyLimit limit(3.0, ceiling);
    base::TimePoint now(1s);
    for (const auto &[signal, latency, step] : events) {
        now += std::chrono::milliseconds(10 * step);
        if (signal % 16 == 15) {
            limit.startRamp(now, 30s);
        }
        limit.observe(static_cast<LimitSignal>(signal % 3), PriorityClass::Interactive, std::chrono::milliseconds(latency), limit.allowed(now), now);
        RC_ASSERT(limit.value() >= 1.0);
        RC_ASSERT(limit.value() <= static_cast<double>(ceiling));
        RC_ASSERT(limit.allowed(now) >= 1U);
        RC_ASSERT(limit.allowed(now) <= ceiling);
    }
}

// Responses at low use do not show that the upstream can take more. A limit that grew on them would be too high when the
// load rises.
BOOST_AUTO_TEST_CASE(growsOnlyWhileInUse)
{
    ConcurrencyLimit used(2.0, 30);
    ConcurrencyLimit unused(2.0, 30);
    for (int count = 0; count < 100; ++count) {
        const base::TimePoint now(1s + count * 10ms);
        used.observe(LimitSignal::Good, PriorityClass::Interactive, 20ms, used.allowed(now), now);
        unused.observe(LimitSignal::Good, PriorityClass::Interactive, 20ms, 1, now);
    }
    BOOST_TEST(used.value() > 10.0);
    BOOST_TEST(unused.value() == 2.0);
}

// Attempts of one burst time out together. If each of them reduced the limit, one burst would reduce it to 1.
BOOST_AUTO_TEST_CASE(shrinksOnOverloadOnceForABurst)
{
    ConcurrencyLimit limit(10.0, 30);
    for (int count = 0; count < 10; ++count) {
        limit.observe(LimitSignal::Overloaded, PriorityClass::Bulk, 1s, 10, base::TimePoint(1s));
    }
    BOOST_TEST(limit.value() == 7.0);
    limit.observe(LimitSignal::Overloaded, PriorityClass::Bulk, 1s, 10, base::TimePoint(2s));
    BOOST_TEST(limit.value() < 5.0);
}

// An upstream that queues requests responds late before it times out. The limit must shrink on latency alone, but not when
// one class is slower than another.
BOOST_AUTO_TEST_CASE(shrinksWhenLatencyRisesAboveItsBaseline)
{
    ConcurrencyLimit limit(10.0, 30);
    base::TimePoint now(1s);
    for (int count = 0; count < 64; ++count) {
        limit.observe(LimitSignal::Good, PriorityClass::Interactive, 20ms, 1, now);
    }
    // The longer latency of another class is not a sign of load.
    limit.observe(LimitSignal::Good, PriorityClass::Bulk, 500ms, 1, now);
    BOOST_TEST(limit.value() == 10.0);
    for (int count = 0; count < 40; ++count) {
        now += 250ms;
        limit.observe(LimitSignal::Good, PriorityClass::Interactive, 100ms, 10, now);
    }
    BOOST_TEST(limit.value() < 4.0);
}

// Random variation of service times alone must not reduce the limit of an upstream without load. It does if the baseline
// follows single fast responses.
BOOST_AUTO_TEST_CASE(noiseDoesNotShrinkTheLimit)
{
    ConcurrencyLimit limit(10.0, 10);
    base::SplitMix64 random(5);
    for (int count = 0; count < 20000; ++count) {
        const auto latency = std::chrono::duration_cast<base::Duration>(-20ms * std::log(1.0 - base::uniformUnit(random)));
        limit.observe(LimitSignal::Good, PriorityClass::Interactive, latency, 10, base::TimePoint(1s + count * 5ms));
        BOOST_REQUIRE(limit.value() >= 8.0);
    }
}

// A cold upstream that gets its full load at once times out on most requests.
BOOST_AUTO_TEST_CASE(slowStartRampsOverTheWarmUp)
{
    ConcurrencyLimit limit(20.0, 30);
    const base::TimePoint now(1s);
    limit.startRamp(now, 30s);
    BOOST_TEST(limit.allowed(now) == 2);
    BOOST_TEST(limit.allowed(now + 15s) == 11);
    BOOST_TEST(limit.allowed(now + 30s) == 20);
}

BOOST_AUTO_TEST_SUITE_END()
