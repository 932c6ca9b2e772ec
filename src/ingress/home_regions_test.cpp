// Tests of the intersection of home regions.

#include "trefoilstile/ingress/home_regions.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

BOOST_AUTO_TEST_SUITE(HomeRegionsSuite)

// Guards against a list without regions that allows none, and against a later list that allows what an earlier one does not.
BOOST_AUTO_TEST_CASE(listsAreIntersected)
{
    HomeRegions homes;
    BOOST_TEST(homes.allow("one"));
    homes.limitTo(std::vector<std::string>{"one", "two"});
    homes.limitTo(std::vector<std::string>{});
    homes.limitTo(HomeRegions());
    BOOST_TEST(homes.allow("one"));
    BOOST_TEST(homes.allow("two"));
    BOOST_TEST(!homes.allow("three"));
    HomeRegions others;
    others.limitTo(std::vector<std::string>{"two", "three"});
    homes.limitTo(others);
    BOOST_TEST(!homes.allow("one"));
    BOOST_TEST(homes.allow("two"));
    BOOST_TEST(!homes.allow("three"));
    homes.limitTo(HomeRegions::none());
    BOOST_TEST(!homes.allow("two"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
