// Tests of the speeds and the resets of connections that the upstream table records.

#include <boost/test/unit_test.hpp>

#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

/// Table with one upstream of 4 slots.
struct TableFixture {
    TableFixture()
    {
        UpstreamReport report;
        report.id = "a";
        report.service = "ledger";
        report.address = "127.0.0.1:1000";
        report.slots = 4;
        table.report(report, s_start);
    }

    Upstream &upstream()
    {
        return *table.ofService("ledger").front();
    }

    UpstreamTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTableLoadSuite)

// Guards against an instance that learns the speed of an upstream's machine only from its own, rare requests.
BOOST_AUTO_TEST_CASE(speedIsSharedBetweenInstances)
{
    TableFixture sender;
    TableFixture receiver;
    sender.table.applyReportedLoad(sender.upstream(), {4, 16, 4, 250}, s_start + 1s);
    const auto observations = sender.table.takeLoadObservations(10, s_start + 1100ms);
    BOOST_REQUIRE(observations.size() == 1U);
    BOOST_TEST(!receiver.table.speedsReported());
    receiver.table.applyLoadObservation(observations.front(), s_start + 1200ms);
    BOOST_TEST(receiver.table.speedsReported());
    BOOST_TEST(receiver.table.speedFactor(receiver.upstream(), s_start + 1200ms) > 2.0);
}

// Guards against multiplying by the speed twice: the observed time of work on a slow machine contains it already.
BOOST_AUTO_TEST_CASE(serviceTimeIsThatOfTheUsualSpeed)
{
    TableFixture fixture;
    Upstream &upstream = fixture.upstream();
    fixture.table.requestSent(upstream, s_start);
    fixture.table.applyReportedLoad(upstream, {1, 0, 4, 250}, s_start + 250ms);
    fixture.table.attemptEnded(upstream, AttemptVerdict::Served, 250ms, 0, s_start + 250ms);
    // The speed half way through is not known exactly, because the report came at the end.
    BOOST_TEST(upstream.serviceSeconds == 0.1, boost::test_tools::tolerance(0.15));
}

// Guards against new connections to an upstream that has just reset one, and against connections that are never opened again.
BOOST_AUTO_TEST_CASE(noNewConnectionForATimeAfterAReset)
{
    TableFixture fixture;
    Upstream &upstream = fixture.upstream();
    BOOST_TEST(!fixture.table.connectionRestrained(upstream, 20, s_start));
    fixture.table.connectionReset(upstream, 2ms, s_start);
    BOOST_TEST(fixture.table.connectionRestrained(upstream, 20, s_start + 200ms));
    BOOST_TEST(!fixture.table.connectionRestrained(upstream, 20, s_start + 400ms));
    fixture.table.connectionReset(upstream, 2ms, s_start + 400ms);
    BOOST_TEST(fixture.table.connectionRestrained(upstream, 20, s_start + 900ms)); // the second pause is longer
    BOOST_TEST(!fixture.table.connectionRestrained(upstream, 20, s_start + 5s));
}

// Guards against resets by the other upstreams of the service, each of which would otherwise have to be learned apart, and against
// a restraint where the queue is short.
BOOST_AUTO_TEST_CASE(resetByOneUpstreamRestrainsConnectionsToOthersWithALongQueue)
{
    TableFixture fixture;
    UpstreamReport other = fixture.upstream().report;
    other.id = "b";
    other.address = "127.0.0.1:1001";
    fixture.table.report(other, s_start);
    Upstream &first = *fixture.table.ofService("ledger")[0];
    Upstream &second = *fixture.table.ofService("ledger")[1];
    fixture.table.applyReportedLoad(first, {4, 4, 4}, s_start);
    fixture.table.applyReportedLoad(second, {4, 4, 4}, s_start);
    BOOST_TEST(!fixture.table.connectionRestrained(second, 20, s_start));
    fixture.table.connectionReset(first, 2ms, s_start);
    BOOST_TEST(fixture.table.connectionRestrained(second, 20, s_start));
    fixture.table.applyReportedLoad(second, {2, 0, 4}, s_start + 10s);
    BOOST_TEST(!fixture.table.connectionRestrained(second, 20, s_start + 10s));
}

// Guards against resets that every instance of a failure domain has to see for itself.
BOOST_AUTO_TEST_CASE(loadLimitOfConnectionsIsShared)
{
    TableFixture sender;
    TableFixture receiver;
    sender.table.applyReportedLoad(sender.upstream(), {4, 4, 4}, s_start);
    receiver.table.applyReportedLoad(receiver.upstream(), {4, 4, 4}, s_start);
    BOOST_TEST(sender.table.connectionLoadLimits(2, s_start).empty());
    sender.table.connectionReset(sender.upstream(), 2ms, s_start);
    const auto limits = sender.table.connectionLoadLimits(2, s_start);
    BOOST_REQUIRE(limits.size() == 1U);
    receiver.table.applyConnectionLoadLimit({limits.front().service + 1, 1.2}, s_start); // another service
    receiver.table.applyConnectionLoadLimit({limits.front().service, 0.1}, s_start); // out of range
    BOOST_TEST(!receiver.table.connectionRestrained(receiver.upstream(), 20, s_start));
    receiver.table.applyConnectionLoadLimit(limits.front(), s_start);
    BOOST_TEST(receiver.table.connectionRestrained(receiver.upstream(), 20, s_start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
