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
    BOOST_TEST(!monitor.due({1, 5}, s_start).has_value());
    monitor.heard({1, 7}, "peer", {1, 5}, s_start);
    BOOST_TEST(!monitor.due({1, 5}, s_start + options.tolerance - 1ms).has_value());
    BOOST_TEST((monitor.due({1, 5}, s_start + options.tolerance) == std::optional<std::string>("peer")));
    BOOST_TEST(!monitor.due({1, 5}, s_start + options.tolerance + options.retryPause - 1ms).has_value());
    BOOST_TEST(monitor.due({1, 5}, s_start + options.tolerance + options.retryPause).has_value());
}

// Guards against a fetch after the changes have arrived in the usual way, and against counting the time of an earlier lag.
BOOST_AUTO_TEST_CASE(arrivedChangesEndTheLag)
{
    LagMonitor monitor;
    const LagOptions options;
    monitor.heard({1, 7}, "peer", {1, 5}, s_start);
    BOOST_TEST(!monitor.due({1, 7}, s_start + 1s).has_value());
    monitor.heard({1, 9}, "other", {1, 7}, s_start + 2s);
    BOOST_TEST(!monitor.due({1, 7}, s_start + 2s).has_value());
    BOOST_TEST((monitor.due({1, 7}, s_start + 2s + options.tolerance) == std::optional<std::string>("other")));
}

// Guards against a report of an older version that replaces the address of an instance with a newer one.
BOOST_AUTO_TEST_CASE(olderReportsAreIgnored)
{
    LagMonitor monitor;
    monitor.heard({1, 9}, "newer", {1, 5}, s_start);
    monitor.heard({1, 7}, "older", {1, 5}, s_start + 10ms);
    BOOST_TEST(monitor.highest() == Position(1, 9));
    BOOST_TEST((monitor.due({1, 5}, s_start + 1s) == std::optional<std::string>("newer")));
}

// Guards against an instance that takes the higher versions of an earlier era, reported by others, for changes that it lacks, and against
// one that takes the lower versions of a new era for old ones.
BOOST_AUTO_TEST_CASE(erasGoBeforeVersions)
{
    LagMonitor monitor;
    monitor.heard({1, 500}, "earlier", {2, 20}, s_start);
    BOOST_TEST(!monitor.due({2, 20}, s_start + 10s).has_value());
    monitor.heard({2, 30}, "later", {2, 20}, s_start + 10s);
    BOOST_TEST((monitor.due({2, 20}, s_start + 11s) == std::optional<std::string>("later")));
    BOOST_TEST((monitor.due({1, 500}, s_start + 12s) == std::optional<std::string>("later")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
