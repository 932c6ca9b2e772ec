// Tests of the health estimate: failing upstreams must be ejected, and outdated, stalled or false reports must lose weight.

#include "trefoilstile/upstream/upstream_health.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::upstream;
using namespace std::chrono_literals;
using engine::AttemptResult;

namespace
{

engine::LoadReported report(std::uint32_t busy, std::uint32_t queued = 0)
{
    return {"u", {1}, engine::UpstreamState::Live, 4, busy, queued};
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamHealths)

// An upstream that fails every attempt must get no more requests. A rejection shows that the upstream works and must restart
// the count of consecutive failures.
BOOST_AUTO_TEST_CASE(consecutiveFailuresEject)
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    const base::TimePoint now(1s);
    for (int count = 0; count < 4; ++count) {
        health.observe(AttemptResult::TimedOut, now, random);
    }
    health.observe(AttemptResult::RejectedNotRun, now, random); // works but is full: ends the series of failures
    for (int count = 0; count < 4; ++count) {
        health.observe(AttemptResult::Failed, now, random);
    }
    BOOST_TEST(!health.ejected());
    health.observe(AttemptResult::Failed, now, random);
    BOOST_TEST(health.ejected());
    BOOST_TEST(!health.probeDue(now + 600ms));
    BOOST_TEST(health.probeDue(now + 1300ms));
}

// Each probe of an upstream that is down costs one request, so the probe interval must grow. After a success the upstream
// must be used again, with one ramp.
BOOST_AUTO_TEST_CASE(probeIntervalGrowsAndASuccessReinstates)
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    base::TimePoint now(1s);
    for (int count = 0; count < 5; ++count) {
        health.observe(AttemptResult::Failed, now, random);
    }
    int probes = 0;
    for (const base::TimePoint end = now + 300s; now < end; now += 100ms) {
        if (health.probeDue(now)) {
            ++probes;
            health.claimProbe(now, random);
            BOOST_TEST(!health.probeDue(now));
            health.observe(AttemptResult::Failed, now, random);
        }
    }
    BOOST_TEST(probes >= 10);
    BOOST_TEST(probes <= 20);
    health.observe(AttemptResult::Completed, now, random);
    BOOST_TEST(!health.ejected());
    BOOST_TEST(health.takeRecovered());
    BOOST_TEST(!health.takeRecovered());
}

// Measurements lag, so a recent report must keep its weight. When reports stop arriving, the last one must lose it.
BOOST_AUTO_TEST_CASE(reportWeightHoldsThenFades)
{
    UpstreamHealth health;
    const base::TimePoint now(1s);
    BOOST_TEST(health.reportWeight(now) == 0.0);
    health.loadReported(report(4, 4), now);
    BOOST_TEST(health.reportedLoad(0) == 2.0);
    BOOST_TEST(health.reportWeight(now + 10s) == 1.0);
    BOOST_TEST(health.reportWeight(now + 27s) == 0.5);
    BOOST_TEST(health.reportWeight(now + 60s) == 0.0);
}

// A stalled measurement repeats the same values in fresh reports. It must lose weight if attempts were started; an idle
// upstream, whose values do not change either, must keep it.
BOOST_AUTO_TEST_CASE(unchangedReportsFadeWhileAttemptsAreStarted)
{
    UpstreamHealth used;
    UpstreamHealth idle;
    for (base::TimePoint now(1s); now <= base::TimePoint(61s); now += 1s) {
        used.attemptStarted();
        used.loadReported(report(0), now);
        idle.loadReported(report(0), now);
    }
    BOOST_TEST(used.reportWeight(base::TimePoint(61s)) == 0.0);
    BOOST_TEST(idle.reportWeight(base::TimePoint(61s)) == 1.0);
}

// A false report of no load must not draw more requests than own observations allow.
BOOST_AUTO_TEST_CASE(ownObservationsOutweighReports)
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    const base::TimePoint now(1s);
    health.loadReported(report(0), now);
    BOOST_TEST(health.reportedLoad(3) == 0.75); // not idle: this instance has three attempts in flight
    for (int count = 0; count < 16; ++count) {
        health.observe(AttemptResult::Completed, now, random);
    }
    BOOST_TEST(health.reportWeight(now) == 0.5);
}

// A failure rate or report weight out of range would make the weight of a candidate negative or too large. Only an ejected
// upstream may be due for a probe.
RC_BOOST_PROP(ratesAndWeightsStayBetweenZeroAndOne, (const std::vector<std::array<std::uint8_t, 3>> &events))
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    base::TimePoint now(1s);
    for (const auto &[kind, value, step] : events) {
        now += std::chrono::milliseconds(10 * step);
        if (kind % 4 == 0) {
            health.loadReported(report(value % 5, value % 3), now);
        } else {
            health.attemptStarted();
            health.observe(static_cast<AttemptResult>(value % 7), now, random);
        }
        RC_ASSERT(health.failureRate(now) >= 0.0);
        RC_ASSERT(health.failureRate(now) < 1.0);
        RC_ASSERT(health.reportWeight(now) >= 0.0);
        RC_ASSERT(health.reportWeight(now) <= 1.0);
        RC_ASSERT(!health.probeDue(now) || health.ejected());
    }
}

BOOST_AUTO_TEST_SUITE_END()
