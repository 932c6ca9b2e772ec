// Tests of the division of requests over regions.

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

// Guards against a region with few upstreams keeping all of its callers, and against moving callers without need.
BOOST_AUTO_TEST_CASE(shortRegionSendsTheRestToRegionsWithRoom)
{
    const auto fromShort = balancedShares("two", capacities(144, 36, 126), 1.0);
    BOOST_TEST(fromShort.at("two") == 3.0 * 36 / 306, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(fromShort.at("one") > fromShort.at("three"));
    const auto fromAmple = balancedShares("one", capacities(144, 36, 126), 1.0);
    BOOST_TEST(fromAmple.at("one") == 1.0);
}

// Guards against requests planned for a region that has nothing.
RC_BOOST_PROP(sharesAddUpAndAvoidEmptyRegions, ())
{
    const auto capacity = [] {
        return *rc::gen::inRange(0, 4) == 0 ? 0.0 : static_cast<double>(*rc::gen::inRange(1, 1000));
    };
    const RegionCapacities regions = capacities(capacity(), capacity(), capacity());
    double total = 0;
    double capacityOfAll = 0;
    for (const auto &[name, share] : balancedShares("one", regions, 1.3)) {
        total += share;
    }
    for (const auto &[name, region] : regions) {
        capacityOfAll += region.capacity;
    }
    RC_ASSERT(std::abs(total - 1) < 1e-9);
    if (capacityOfAll > 0) {
        for (const auto &[name, share] : balancedShares("one", regions, 1.3)) {
            RC_ASSERT(share < 1e-12 || regions.at(name).capacity > 0);
        }
    }
}

// Guards against a shift above the limit when capacity is added or taken away step by step.
BOOST_AUTO_TEST_CASE(plannedChangeMovesABoundedPartPerSecond)
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

// Guards against a split that stays with the upstreams that became known first at a start.
BOOST_AUTO_TEST_CASE(splitFollowsAtOnceWhileNotInUse)
{
    RegionSplit split;
    split.update("one", capacities(0, 36, 0), false, s_start);
    BOOST_TEST(split.share("two") == 1.0);
    split.update("one", capacities(144, 36, 126), false, s_start + 100ms);
    BOOST_TEST(split.share("one") == 1.0);
}

// Guards against planning for a region for seconds after all of its upstreams are gone.
BOOST_AUTO_TEST_CASE(lostRegionIsLeftAtOnce)
{
    RegionSplit split;
    split.update("two", capacities(144, 36, 126), true, s_start);
    split.update("two", capacities(0, 36, 126), true, s_start + 100ms);
    BOOST_TEST(split.share("one") == 0.0);
}

// Guards against requests that fail for many seconds because half of a region is gone and its callers stay.
BOOST_AUTO_TEST_CASE(lossOfCapacityIsFollowedWithinSeconds)
{
    RegionSplit split;
    split.update("one", capacities(108, 18, 90), true, s_start);
    BOOST_TEST(split.share("one") == 1.0);
    for (int i = 1; i <= 20; ++i) {
        split.update("one", capacities(18, 18, 90), true, s_start + i * 100ms);
    }
    // A third of the demand and a seventh of the capacity, with the preference for the own region.
    BOOST_TEST(split.share("one") == RegionSplitOptions().localPreference * 3 / 7, boost::test_tools::tolerance(1e-6));
}

// Guards against keys that change region although the split is the same, or more of them than the split says.
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
