// Tests of what resets of new connections teach about a service.

#include "trefoilstile/ingress/connection_restraint.hpp"

#include <cmath>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionRestraintSuite)

// Guards against an effect on services whose upstreams reset no connections, or reset them for another reason than a queue.
BOOST_AUTO_TEST_CASE(nothingIsRestrainedWithoutAResetByALongQueue)
{
    ConnectionRestraint restraint;
    BOOST_TEST(std::isinf(restraint.loadLimit(s_start)));
    BOOST_TEST(restraint.allowed(20, 30, 4, s_start) == 20U);
    restraint.connectionReset(0.8, 1ms, s_start);
    BOOST_TEST(std::isinf(restraint.loadLimit(s_start)));
}

// Guards against a limit that follows only the last reset, and against one that stays low for good after a single reset.
BOOST_AUTO_TEST_CASE(limitFollowsTheLowestResetAndRecovers)
{
    ConnectionRestraint restraint;
    restraint.connectionReset(2.0, 1ms, s_start);
    BOOST_TEST(restraint.loadLimit(s_start) == 1.6, boost::test_tools::tolerance(1e-9));
    restraint.connectionReset(2.5, 1ms, s_start);
    BOOST_TEST(restraint.loadLimit(s_start) == 1.6, boost::test_tools::tolerance(1e-9));
    restraint.connectionReset(1.1, 1ms, s_start);
    BOOST_TEST(restraint.loadLimit(s_start) == 1.0);
    BOOST_TEST(restraint.loadLimit(s_start + 10s) < 1.2);
    BOOST_TEST(std::isinf(restraint.loadLimit(s_start + 3min)));
}

// Guards against an instance that uses all of its connections to an upstream whose queue is long, and against one that may use none.
BOOST_AUTO_TEST_CASE(allowedConnectionsShrinkWithTheQueue)
{
    ConnectionRestraint restraint;
    restraint.connectionReset(2.0, 1ms, s_start);
    BOOST_TEST(restraint.allowed(20, 4, 4, s_start) == 20U);
    BOOST_TEST(restraint.allowed(20, 8, 4, s_start) == 4U);
    BOOST_TEST(restraint.allowed(20, 1'000, 4, s_start) == 1U);
}

// Guards against requests that wait long because a reset arrived late once.
BOOST_AUTO_TEST_CASE(expectedDelayOfAResetIsBounded)
{
    ConnectionRestraint restraint;
    restraint.connectionReset(2.0, 5ms, s_start);
    restraint.connectionReset(2.0, 1ms, s_start);
    BOOST_TEST((restraint.resetDelay() == base::Duration(5ms)));
    restraint.connectionReset(2.0, 90ms, s_start);
    BOOST_TEST((restraint.resetDelay() <= base::Duration(30ms)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
