// Tests of route lookup and of the weighted split.

#include "trefoilstile/ingress/route_index.hpp"

#include <array>
#include <cmath>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace trefoilstile::ingress
{

namespace
{

Route route(std::string host, std::string prefix)
{
    Route result;
    result.name = prefix;
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.shares = {{"service", 1}};
    return result;
}

RouteIndex indexOf(std::vector<Route> routes)
{
    Configuration configuration;
    configuration.routes = std::move(routes);
    return RouteIndex(configuration);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteIndexSuite)

// Guards against a match of a shorter prefix, which would send a request to a service that must not get it.
BOOST_AUTO_TEST_CASE(longestPrefixWins)
{
    const RouteIndex index = indexOf({route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")});
    BOOST_TEST(index.find("a.example", "/x/y/1")->route.name == "/x/y/");
    BOOST_TEST(index.find("a.example", "/x/y")->route.name == "/x/");
    BOOST_TEST(index.find("a.example", "/x/")->route.name == "/x/");
    BOOST_TEST(index.find("b.example", "/x/y/1")->route.name == "/");
}

// Guards against a match that ends inside a path segment, and against a match of another host.
BOOST_AUTO_TEST_CASE(noMatchOutsideThePrefix)
{
    const RouteIndex index = indexOf({route("a.example", "/x/")});
    BOOST_TEST(!index.find("a.example", "/xy/"));
    BOOST_TEST(!index.find("a.example", "/x"));
    BOOST_TEST(!index.find("c.example", "/x/"));
    BOOST_TEST(!index.find("a.example", ""));
}

// Guards against home regions of a route or an account that do not bind the lookups of the host.
BOOST_AUTO_TEST_CASE(homesOfAHostAreThoseOfAllItsRoutesAndAccounts)
{
    Configuration configuration;
    configuration.routes = {route("a.example", "/x/"), route("a.example", "/y/"), route("b.example", "/")};
    configuration.routes[1].homeRegions = {"one"};
    const RouteIndex withoutAccounts(configuration);
    BOOST_TEST(withoutAccounts.homes("a.example").allow("one"));
    BOOST_TEST(!withoutAccounts.homes("a.example").allow("two"));
    BOOST_TEST(withoutAccounts.homes("b.example").allow("two"));
    BOOST_TEST(!withoutAccounts.homes("c.example").allow("one"));
    configuration.accounts.resize(2);
    configuration.accounts[1].homeRegions = {"two"};
    const RouteIndex withAccounts(configuration);
    BOOST_TEST(!withAccounts.homes("a.example").allow("one"));
    BOOST_TEST(withAccounts.homes("b.example").allow("two"));
    BOOST_TEST(!withAccounts.homes("b.example").allow("one"));
}

// Guards against a service that gets more or less than its weight over few requests.
RC_BOOST_PROP(splitFollowsWeights, ())
{
    const auto weights = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 5), rc::gen::inRange(1, 100));
    std::vector<ServiceShare> shares;
    double total = 0;
    for (const int weight : weights) {
        shares.push_back({"service", static_cast<double>(weight)});
        total += weight;
    }
    ShareRotation rotation(shares);
    std::vector<int> counts(shares.size());
    const int requests = *rc::gen::inRange(1, 500);
    for (int i = 0; i < requests; ++i) {
        ++counts[rotation.next()];
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
        RC_ASSERT(std::abs(counts[i] - requests * shares[i].weight / total) <= static_cast<double>(shares.size()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
