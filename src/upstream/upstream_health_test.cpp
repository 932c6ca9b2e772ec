// Guards against work for an upstream that fails, and against reports that are old, stopped or false.

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

BOOST_AUTO_TEST_CASE(failuresInARowEject)
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    const base::TimePoint now(1s);
    for (int count = 0; count < 4; ++count) {
        health.observe(AttemptResult::TimedOut, now, random);
    }
    health.observe(AttemptResult::RejectedNotRun, now, random); // works and is full: no failure
    for (int count = 0; count < 4; ++count) {
        health.observe(AttemptResult::Failed, now, random);
    }
    BOOST_TEST(!health.ejected());
    health.observe(AttemptResult::Failed, now, random);
    BOOST_TEST(health.ejected());
    BOOST_TEST(!health.probeDue(now + 600ms));
    BOOST_TEST(health.probeDue(now + 1300ms));
}

// Probes at a fixed short interval cost one request each for as long as the upstream is gone.
BOOST_AUTO_TEST_CASE(probesGrowApartAndASuccessBringsBack)
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
    BOOST_TEST(health.takeReturned());
    BOOST_TEST(!health.takeReturned());
}

// The last report holds while measurements lag, and fades when they stop.
BOOST_AUTO_TEST_CASE(reportHoldsThenFades)
{
    UpstreamHealth health;
    const base::TimePoint now(1s);
    BOOST_TEST(health.reportWeight(now) == 0.0);
    health.reported(report(4, 4), now);
    BOOST_TEST(health.reportedLoad(0) == 2.0);
    BOOST_TEST(health.reportWeight(now + 10s) == 1.0);
    BOOST_TEST(health.reportWeight(now + 27s) == 0.5);
    BOOST_TEST(health.reportWeight(now + 60s) == 0.0);
}

BOOST_AUTO_TEST_CASE(stoppedMeasurementFadesThoughItIsRepeated)
{
    UpstreamHealth used;
    UpstreamHealth idle;
    for (base::TimePoint now(1s); now <= base::TimePoint(61s); now += 1s) {
        used.started();
        used.reported(report(0), now);
        idle.reported(report(0), now);
    }
    BOOST_TEST(used.reportWeight(base::TimePoint(61s)) == 0.0);
    BOOST_TEST(idle.reportWeight(base::TimePoint(61s)) == 1.0);
}

BOOST_AUTO_TEST_CASE(ownObservationsComeBeforeReports)
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    const base::TimePoint now(1s);
    health.reported(report(0), now);
    BOOST_TEST(health.reportedLoad(3) == 0.75); // it cannot be idle with three attempts of this instance
    for (int count = 0; count < 16; ++count) {
        health.observe(AttemptResult::Completed, now, random);
    }
    BOOST_TEST(health.reportWeight(now) == 0.5);
}

RC_BOOST_PROP(partsStayBetweenZeroAndOne, (const std::vector<std::array<std::uint8_t, 3>> &events))
{
    UpstreamHealth health;
    base::SplitMix64 random(1);
    base::TimePoint now(1s);
    for (const auto &[kind, value, step] : events) {
        now += std::chrono::milliseconds(10 * step);
        if (kind % 4 == 0) {
            health.reported(report(value % 5, value % 3), now);
        } else {
            health.started();
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
