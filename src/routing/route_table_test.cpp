// Tests of the route table: a request with a wrong route gets the wrong class or idempotency. A booking hold that is treated
// as an idempotent status check could run twice.

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

// A prefix that matched part of a segment, or a shorter prefix that won, would give a request the idempotency of another
// route.
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

// An upstream that decodes or normalizes a path could serve another resource than the one that the route table matched.
BOOST_AUTO_TEST_CASE(rejectsAmbiguousPaths)
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
