// Tests of the detection of a copy that is behind.

#include "trefoilstile/feed/lag_monitor.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::feed
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(LagMonitorSuite)

// Guards against an instance that stays behind without noticing, and against a fetch for each difference that the usual delay causes.
BOOST_AUTO_TEST_CASE(lagBeyondTheToleranceIsDue)
{
    LagMonitor monitor;
    const LagOptions options;
    BOOST_TEST(!monitor.due(5, s_start).has_value());
    monitor.heard(7, "peer", 5, s_start);
    BOOST_TEST(!monitor.due(5, s_start + options.tolerance - 1ms).has_value());
    BOOST_TEST((monitor.due(5, s_start + options.tolerance) == std::optional<std::string>("peer")));
    BOOST_TEST(!monitor.due(5, s_start + options.tolerance + options.retryPause - 1ms).has_value());
    BOOST_TEST(monitor.due(5, s_start + options.tolerance + options.retryPause).has_value());
}

// Guards against a fetch after the changes have arrived in the usual way, and against counting the time of an earlier lag.
BOOST_AUTO_TEST_CASE(arrivedChangesEndTheLag)
{
    LagMonitor monitor;
    const LagOptions options;
    monitor.heard(7, "peer", 5, s_start);
    BOOST_TEST(!monitor.due(7, s_start + 1s).has_value());
    monitor.heard(9, "other", 7, s_start + 2s);
    BOOST_TEST(!monitor.due(7, s_start + 2s).has_value());
    BOOST_TEST((monitor.due(7, s_start + 2s + options.tolerance) == std::optional<std::string>("other")));
}

// Guards against a report of an older version that replaces the address of an instance with a newer one.
BOOST_AUTO_TEST_CASE(olderReportsAreIgnored)
{
    LagMonitor monitor;
    monitor.heard(9, "newer", 5, s_start);
    monitor.heard(7, "older", 5, s_start + 10ms);
    BOOST_TEST(monitor.highest() == 9U);
    BOOST_TEST((monitor.due(5, s_start + 1s) == std::optional<std::string>("newer")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
