// Tests of the phases of a planned stop.

#include "trefoilstile/ingress/planned_stop.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStopSuite)

// Guards against accepting a request that would be interrupted by the kill, and against refusing one that can still finish.
BOOST_AUTO_TEST_CASE(acceptsOnlyRequestsThatCanFinish)
{
    PlannedStop stop;
    BOOST_TEST(stop.accepts(1h, s_start));
    stop.begin(s_start, 6s);
    BOOST_TEST(stop.accepts(3s, s_start));
    BOOST_TEST(!stop.accepts(3s, s_start + 3s));
    BOOST_TEST(stop.accepts(2s, s_start + 3s));
}

// Guards against a second signal that postpones the deadline.
BOOST_AUTO_TEST_CASE(secondSignalKeepsTheDeadline)
{
    PlannedStop stop;
    stop.begin(s_start, 6s);
    stop.begin(s_start + 5s, 6s);
    BOOST_TEST(!stop.expired(s_start + 5s));
    BOOST_TEST(stop.expired(s_start + 6s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
