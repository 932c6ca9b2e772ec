// Tests of pauses that upstreams ask for, across changes of their entries.

#include <boost/test/unit_test.hpp>

#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

UpstreamReport report(std::int64_t startedAt)
{
    UpstreamReport result;
    result.id = "a";
    result.service = "ledger";
    result.address = "127.0.0.1:1000";
    result.failureDomain = "east";
    result.slots = 4;
    result.startedAt = startedAt;
    return result;
}

Upstream &only(const UpstreamTable &table)
{
    return *table.ofService("ledger").front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamPause)

// Guards against requests to an upstream that asked for a pause, because its entry lapsed and returned in the meantime.
BOOST_AUTO_TEST_CASE(requestedPauseOutlivesTheEntry)
{
    UpstreamTable table;
    table.setSourceAvailable(true, s_start - 60s);
    table.report(report(1), s_start);
    const auto lapsed = table.ofService("ledger").front();
    table.quietRequested(*lapsed, 5s, s_start);
    table.remove("a", s_start + 1s);
    table.advance(s_start + 4s);
    BOOST_REQUIRE(table.ofService("ledger").empty());
    table.report(report(1), s_start + 4s);
    BOOST_TEST(table.quiet(only(table), s_start + 5s - 1ms));
    BOOST_TEST(!table.quiet(only(table), s_start + 5s));
    // A response to a request from before the lapse arrives while there is no entry.
    table.remove("a", s_start + 5s);
    table.advance(s_start + 9s);
    table.quietRequested(*lapsed, 5s, s_start + 9s);
    table.report(report(1), s_start + 9s);
    BOOST_TEST(table.quiet(only(table), s_start + 13s));
    // A new start of the upstream has asked for nothing.
    table.report(report(2), s_start + 10s);
    BOOST_TEST(!table.quiet(only(table), s_start + 10s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
