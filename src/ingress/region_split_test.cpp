// Tests of the split of requests over regions.

#include "trefoilstile/ingress/region_split.hpp"

#include <cmath>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

RegionCapacities capacities(double one, double two, double three)
{
    return {{"one", {one, 1}}, {"two", {two, 1}}, {"three", {three, 1}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegionSplitSuite)

// Guards against a region with little capacity that keeps all of its callers, and against moving callers unnecessarily.
BOOST_AUTO_TEST_CASE(overloadedRegionSendsTheExcessToRegionsWithSpareCapacity)
{
    const auto fromOverloaded = balancedShares("two", capacities(144, 36, 126), 1.0);
    BOOST_TEST(fromOverloaded.at("two") == 3.0 * 36 / 306, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(fromOverloaded.at("one") > fromOverloaded.at("three"));
    const auto fromUnderloaded = balancedShares("one", capacities(144, 36, 126), 1.0);
    BOOST_TEST(fromUnderloaded.at("one") == 1.0);
}

// Guards against shares for regions without capacity, and against shares whose sum is not 1.
RC_BOOST_PROP(sharesSumToOneAndSkipRegionsWithoutCapacity, ())
{
    const auto capacity = [] {
        return *rc::gen::inRange(0, 4) == 0 ? 0.0 : static_cast<double>(*rc::gen::inRange(1, 1000));
    };
    const RegionCapacities regions = capacities(capacity(), capacity(), capacity());
    double total = 0;
    double totalCapacity = 0;
    for (const auto &[name, share] : balancedShares("one", regions, 1.3)) {
        total += share;
    }
    for (const auto &[name, region] : regions) {
        totalCapacity += region.capacity;
    }
    RC_ASSERT(std::abs(total - 1) < 1e-9);
    if (totalCapacity > 0) {
        for (const auto &[name, share] : balancedShares("one", regions, 1.3)) {
            RC_ASSERT(share < 1e-12 || regions.at(name).capacity > 0);
        }
    }
}

// Guards against a shift above the limit when capacity is added or removed in a planned change.
BOOST_AUTO_TEST_CASE(plannedChangeMovesABoundedSharePerSecond)
{
    RegionSplit split;
    split.update("two", capacities(144, 36, 126), true, s_start);
    double before = split.share("two");
    for (int i = 1; i <= 100; ++i) {
        split.update("two", capacities(144, 108, 126), true, s_start + i * 100ms);
        BOOST_TEST(split.share("two") - before <= 0.1 * RegionSplitOptions().shiftPerSecond + 1e-9);
        before = split.share("two");
    }
    BOOST_TEST(before > 0.45);
}

// Guards against a split that adapts slowly at start, when it knows only the upstreams that were discovered first.
BOOST_AUTO_TEST_CASE(splitFollowsImmediatelyWhileNotInUse)
{
    RegionSplit split;
    split.update("one", capacities(0, 36, 0), false, s_start);
    BOOST_TEST(split.share("two") == 1.0);
    split.update("one", capacities(144, 36, 126), false, s_start + 100ms);
    BOOST_TEST(split.share("one") == 1.0);
}

// Guards against a region that keeps a share for seconds after all of its upstreams have been lost.
BOOST_AUTO_TEST_CASE(lostRegionLosesItsShareImmediately)
{
    RegionSplit split;
    split.update("two", capacities(144, 36, 126), true, s_start);
    split.update("two", capacities(0, 36, 126), true, s_start + 100ms);
    BOOST_TEST(split.share("one") == 0.0);
}

// Guards against requests that fail for many seconds because most of a region's capacity is lost and its callers stay there.
BOOST_AUTO_TEST_CASE(splitFollowsLossOfCapacityWithinSeconds)
{
    RegionSplit split;
    split.update("one", capacities(108, 18, 90), true, s_start);
    BOOST_TEST(split.share("one") == 1.0);
    for (int i = 1; i <= 20; ++i) {
        split.update("one", capacities(18, 18, 90), true, s_start + i * 100ms);
    }
    // A third of the demand and a seventh of the capacity, times the local preference.
    BOOST_TEST(split.share("one") == RegionSplitOptions().localPreference * 3 / 7, boost::test_tools::tolerance(1e-6));
}

// Guards against keys that change region while the shares stay the same, and against a number of keys that differs from the share.
BOOST_AUTO_TEST_CASE(keysFollowTheShares)
{
    RegionSplit split;
    split.update("two", capacities(144, 36, 126), true, s_start);
    int own = 0;
    constexpr int keys = 1000;
    for (int i = 0; i < keys; ++i) {
        own += split.regionOf((i + 0.5) / keys) == "two" ? 1 : 0;
    }
    BOOST_TEST(std::abs(own - keys * split.share("two")) <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
