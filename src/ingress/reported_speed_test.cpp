// Tests of the estimate of the speed of an upstream's machine.

#include "trefoilstile/ingress/reported_speed.hpp"

#include <cmath>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

/// Reports of 20 upstreams, each with a state of its own that is drawn anew at exponential intervals: slow with probability 0.15.
void reportChangingSpeeds(SpeedVariation &variation, double meanIntervalSeconds)
{
    base::SplitMix64 random(3);
    const auto uniform = [&random]() {
        return static_cast<double>(random.next() >> 11U) / static_cast<double>(1ULL << 53U);
    };
    for (int upstream = 0; upstream < 20; ++upstream) {
        ReportedSpeed speed;
        bool slow = false;
        for (base::TimePoint now = s_start; now < s_start + 120s;) {
            const base::Duration gap = std::chrono::milliseconds(50 + random.next() % 900);
            if (uniform() > std::exp(-base::toSeconds(gap) / meanIntervalSeconds)) {
                slow = uniform() < 0.15;
            }
            now += gap;
            speed.observe(slow ? 250 : 100, now, variation);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReportedSpeedSuite)

// Guards against a wrong number that moves all work to or from an upstream.
BOOST_AUTO_TEST_CASE(numbersAreBoundedAndNonsenseIsIgnored)
{
    BOOST_TEST((boundedSpeedPercent(100) == 100U));
    BOOST_TEST((boundedSpeedPercent(1) == s_minimumSpeedPercent));
    BOOST_TEST((boundedSpeedPercent(9'999) == s_maximumSpeedPercent));
    BOOST_TEST(!boundedSpeedPercent(0));
    BOOST_TEST(!boundedSpeedPercent(1'000'000));
}

// Guards against an effect before any speed was reported.
BOOST_AUTO_TEST_CASE(factorIsExactlyOneWithoutReports)
{
    BOOST_TEST(ReportedSpeed().factor(SpeedVariation(), s_start) == 1.0);
}

// Guards against a speed that is used long after it has changed (the first case), and against one that is forgotten although it
// never changes (the second).
BOOST_AUTO_TEST_CASE(weightFallsAsFastAsSpeedsWereSeenToChange)
{
    SpeedVariation changing;
    reportChangingSpeeds(changing, 0.6);
    BOOST_TEST((changing.persistence() >= 400ms && changing.persistence() <= 800ms));
    BOOST_TEST(changing.mean() == 1.225, boost::test_tools::tolerance(0.1));
    ReportedSpeed speed;
    speed.observe(250, s_start, changing);
    BOOST_TEST(speed.factor(changing, s_start) == 2.5);
    BOOST_TEST(speed.factor(changing, s_start + 300ms) > 1.8);
    BOOST_TEST(speed.factor(changing, s_start + 5s) == changing.mean(), boost::test_tools::tolerance(0.01));

    SpeedVariation steady;
    ReportedSpeed slow;
    ReportedSpeed usual;
    for (int i = 0; i < 100; ++i) {
        slow.observe(250, s_start + i * 300ms, steady);
        usual.observe(100, s_start + i * 300ms, steady);
    }
    BOOST_TEST(slow.factor(steady, s_start + 40s) > 2.2);
    BOOST_TEST(usual.factor(steady, s_start + 40s) < 1.2);
}

// Guards against a speed that an older, late report of another instance replaces.
BOOST_AUTO_TEST_CASE(olderReportIsIgnored)
{
    SpeedVariation variation;
    ReportedSpeed speed;
    speed.observe(250, s_start, variation);
    speed.observe(100, s_start - 200ms, variation);
    BOOST_TEST(speed.factor(variation, s_start) == 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
