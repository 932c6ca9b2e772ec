// Guards against requests that get the wrong class or idempotency: a hold read as a status check could run twice.

#include "trefoilstile/routing/route_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;

namespace
{

document::SteeringDocument makeDocument()
{
    document::SteeringDocument document;
    document::Service &service = document.services.emplace_back();
    service.name = "booking";
    service.hosts = {"booking.example"};
    service.routes = {{"/", {}, base::PriorityClass::Interactive, true, {}},
        {"/holds", {"POST"}, base::PriorityClass::Urgent, false, {}},
        {"/holds/archive/", {}, base::PriorityClass::Bulk, true, {}}};
    return document;
}

int routeOf(const routing::RouteTable &table, std::string_view path, std::string_view method = "POST")
{
    const auto match = table.match("booking.example", path, method);
    return match ? static_cast<int>(match->route) : -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteTableTests)

BOOST_AUTO_TEST_CASE(longestPrefixOfWholeSegmentsWins)
{
    const document::SteeringDocument document = makeDocument();
    const routing::RouteTable table(document);
    BOOST_TEST(routeOf(table, "/holds") == 1);
    BOOST_TEST(routeOf(table, "/holds/7") == 1);
    BOOST_TEST(routeOf(table, "/holds", "GET") == 0);
    BOOST_TEST(routeOf(table, "/holdsx") == 0);
    BOOST_TEST(routeOf(table, "/holds/archive/1") == 2);
    BOOST_TEST(!table.match("other.example", "/", "GET").has_value());
}

BOOST_AUTO_TEST_CASE(rejectsPathsWithASecondReading)
{
    for (const char *path : {"",
             "holds",
             "//holds",
             "/x/../holds",
             "/./holds",
             "/%68olds",
             "/a%2fholds",
             "/a%5cholds",
             "/a\\holds",
             "/a%",
             "/a%4",
             "/a%zz",
             "/a b",
             "/a%00",
             "/..",
             "/a/."}) {
        BOOST_TEST(!routing::isCanonicalPath(path), path);
    }
    for (const char *path : {"/", "/holds", "/holds/", "/a%20b", "/a.b/..c", "/%E0%B4%95"}) {
        BOOST_TEST(routing::isCanonicalPath(path), path);
    }
}

BOOST_AUTO_TEST_SUITE_END()
