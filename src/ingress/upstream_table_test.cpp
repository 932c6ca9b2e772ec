// Tests of what is believed of upstreams after reports, outages of their source, and attempts.

#include "trefoilstile/ingress/upstream_table.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

UpstreamReport report(std::string id)
{
    UpstreamReport result;
    result.id = std::move(id);
    result.service = "ledger";
    result.address = "127.0.0.1:1000";
    result.failureDomain = "east";
    result.slots = 4;
    return result;
}

/// Book whose source has been in reach for long.
UpstreamTable soundBook()
{
    UpstreamTable book;
    book.setRegions({{"east", "one"}});
    Configuration configuration;
    Service service;
    service.name = "ledger";
    service.warmUp = 3s;
    configuration.services.emplace(service.name, service);
    book.setServices(configuration);
    book.setSourceAvailable(true, s_start - 60s);
    return book;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTableSuite)

// Guards against requests to an upstream that has left while its source is sound.
BOOST_AUTO_TEST_CASE(removalIsBelievedAtOnceWhenTheSourceIsSound)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    const UpstreamTable::Pointer upstream = book.ofService("ledger").front();
    BOOST_TEST(book.usable(*upstream));
    for (const char *id : {"b", "c", "d"}) {
        book.report(report(id), s_start);
    }
    book.remove("a", s_start);
    book.advance(s_start);
    BOOST_TEST(!book.usable(*upstream));
    BOOST_TEST(book.ofService("ledger").size() == 3U);
}

// Guards against dropping all upstreams when an outage of the source was too short or too silent to be noticed.
BOOST_AUTO_TEST_CASE(manyRemovalsAtOnceAreALapse)
{
    UpstreamTable book = soundBook();
    for (const char *id : {"a", "b", "c", "d"}) {
        book.report(report(id), s_start);
    }
    for (const char *id : {"a", "b", "c", "d"}) {
        book.remove(id, s_start + 10s);
    }
    book.advance(s_start + 11s);
    BOOST_TEST(book.ofService("ledger").size() == 4U);
    book.report(report("a"), s_start + 11s);
    book.advance(s_start + 10s + UpstreamTableOptions().unnoticedLapseHold);
    BOOST_TEST(book.ofService("ledger").size() == 1U);
}

// Guards against giving up all upstreams whose entries lapsed while the source was away.
BOOST_AUTO_TEST_CASE(lapsedEntryIsKeptUntilItCouldBeBack)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    book.setSourceAvailable(false, s_start + 1s);
    book.setSourceAvailable(true, s_start + 9s);
    book.remove("a", s_start + 9s);
    book.advance(s_start + 10s);
    BOOST_TEST(book.ofService("ledger").size() == 1U);
    book.report(report("a"), s_start + 10s);
    book.advance(s_start + 20s);
    BOOST_TEST(book.ofService("ledger").size() == 1U);
}

// Guards against keeping an upstream that did not come back after its source did.
BOOST_AUTO_TEST_CASE(lapsedEntryThatStaysAwayIsGone)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    book.setSourceAvailable(false, s_start + 1s);
    book.setSourceAvailable(true, s_start + 9s);
    book.remove("a", s_start + 9s);
    book.advance(s_start + 9s + UpstreamTableOptions().lapseHold);
    BOOST_TEST(book.ofService("ledger").empty());
}

// Guards against requests to an upstream that left while this instance alone was cut off from the source: the hold added to
// the time for reconnecting exceeded the time allowed (thanthri scale-2, seed 820839194636).
BOOST_AUTO_TEST_CASE(fewMissingEntriesAreBelievedAtOnce)
{
    UpstreamTable book = soundBook();
    for (const char *id : {"a", "b", "c", "d"}) {
        book.report(report(id), s_start);
    }
    book.setSourceAvailable(false, s_start + 1s);
    book.setSourceAvailable(true, s_start + 9s);
    book.remove("a", s_start + 9s);
    book.advance(s_start + 9s);
    BOOST_TEST(book.ofService("ledger").size() == 3U);
    // With many missing, they have lapsed.
    book.remove("b", s_start + 9s);
    book.remove("c", s_start + 9s);
    book.advance(s_start + 9s);
    BOOST_TEST(book.ofService("ledger").size() == 3U);
}

// Guards against treating a planned departure as a lapse.
BOOST_AUTO_TEST_CASE(drainingEntryIsGoneAlsoRightAfterAnOutage)
{
    UpstreamTable book = soundBook();
    UpstreamReport leaving = report("a");
    leaving.draining = true;
    book.report(leaving, s_start);
    book.setSourceAvailable(false, s_start + 1s);
    book.setSourceAvailable(true, s_start + 2s);
    book.remove("a", s_start + 2s);
    BOOST_TEST(book.ofService("ledger").empty());
}

// Guards against taking a new run of a process for the one before: counts and warm objects are not its own.
BOOST_AUTO_TEST_CASE(newRunUnderTheSameIdStartsAnew)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    const UpstreamTable::Pointer before = book.ofService("ledger").front();
    book.requestSent(*before, s_start);
    UpstreamReport again = report("a");
    again.startedAt = 7;
    again.warmUpLeft = 2s;
    book.report(again, s_start + 1s);
    const UpstreamTable::Pointer after = book.ofService("ledger").front();
    BOOST_TEST(before->gone);
    BOOST_TEST(after->outstanding == 0U);
    BOOST_TEST((after->coldUntil > s_start + 3s));
}

// Guards against a burst at upstreams that became cold while their failure domain was evacuated.
BOOST_AUTO_TEST_CASE(upstreamsAreTakenForColdAfterAnEvacuation)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    const UpstreamTable::Pointer upstream = book.ofService("ledger").front();
    book.setEvacuated({"east"}, s_start);
    BOOST_TEST(!book.usable(*upstream));
    book.setEvacuated({}, s_start + 8s);
    BOOST_TEST(book.usable(*upstream));
    BOOST_TEST((upstream->coldUntil == s_start + 11s));
}

// Guards against requests to an address that has gone to another upstream: they arrive at a service that they are not for
// (shmr-grown trouble-1, seed 562540697947, BUDGET: 1568 such and other repeats where 1452 are allowed).
BOOST_AUTO_TEST_CASE(upstreamWhoseAddressIsTakenIsNotUsed)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    const UpstreamTable::Pointer before = book.ofService("ledger").front();
    UpstreamReport unknown = report("x");
    unknown.service = "nobody's";
    unknown.startedAt = 5;
    book.report(unknown, s_start);
    BOOST_TEST(book.usable(*before));
    UpstreamReport next = report("b");
    next.startedAt = 5;
    book.report(next, s_start);
    BOOST_TEST(!book.usable(*before));
    BOOST_TEST(book.usable(*book.ofService("ledger").back()));
}

BOOST_AUTO_TEST_CASE(misdirectedRequestEndsTheUseOfTheEntry)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    Upstream &upstream = *book.ofService("ledger").front();
    book.requestSent(upstream, s_start);
    book.attemptEnded(upstream, AttemptVerdict::Misdirected, 10ms, 0, s_start);
    BOOST_TEST(book.avoided(upstream, s_start + 5s));
    BOOST_TEST(!book.trialDue(upstream, s_start + 5s));
}

// Guards against sending on to an upstream that fails while its health looks good, and against never trying it again.
BOOST_AUTO_TEST_CASE(failingUpstreamIsAvoidedAndTriedNowAndThen)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    Upstream &upstream = *book.ofService("ledger").front();
    for (int i = 0; i < 6; ++i) {
        book.requestSent(upstream, s_start);
        book.attemptEnded(upstream, i % 2 == 0 ? AttemptVerdict::Broken : AttemptVerdict::Served, 10ms, 0, s_start);
    }
    BOOST_TEST(book.avoided(upstream, s_start));
    BOOST_TEST(!book.trialDue(upstream, s_start + 100ms)); // the last request was a trial already
    BOOST_TEST(book.trialDue(upstream, s_start + UpstreamTableOptions().probation));
    BOOST_TEST(!book.avoided(upstream, s_start + 30s));
}

// Guards against all load on the few upstreams that happen to be tried while a whole service fails part of its requests, and
// against an upstream that is not left out although it fails far more than the others.
BOOST_AUTO_TEST_CASE(failuresCountByComparisonWithTheService)
{
    UpstreamTable book = soundBook();
    const std::vector<std::string> ids{"a", "b", "c", "d", "e", "f"};
    for (const std::string &id : ids) {
        book.report(report(id), s_start);
    }
    const auto play = [&](auto fails) {
        for (int attempt = 0; attempt < 20; ++attempt) {
            for (const UpstreamTable::Pointer &upstream : book.ofService("ledger")) {
                book.requestSent(*upstream, s_start);
                book.attemptEnded(*upstream, fails(*upstream, attempt) ? AttemptVerdict::Shed : AttemptVerdict::Served, 10ms, 0, s_start);
            }
        }
        book.updateFailureLimits(s_start);
    };
    play([](const Upstream &upstream, int attempt) {
        return upstream.report.id == "f" || attempt % 2 == 0;
    });
    for (const UpstreamTable::Pointer &upstream : book.ofService("ledger")) {
        BOOST_TEST(book.avoided(*upstream, s_start) == (upstream->report.id == "f"), upstream->report.id);
    }
}

// Guards against counting own requests twice: once as stated by the upstream and once as outstanding.
BOOST_AUTO_TEST_CASE(loadCountsOwnRequestsOnce)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    Upstream &upstream = *book.ofService("ledger").front();
    book.requestSent(upstream, s_start);
    book.requestSent(upstream, s_start);
    // Three run at the upstream: one of another instance, the one that is answered is not counted any more.
    book.applyReportedLoad(upstream, {2, 0, 4}, s_start);
    book.attemptEnded(upstream, AttemptVerdict::Served, 10ms, 0, s_start);
    BOOST_TEST(book.load(upstream, s_start) == 2.0);
    BOOST_TEST(book.load(upstream, s_start + 10s) == 1.0);
}

// Guards against overloading an upstream that states its load to other instances only: with 61 instances each one heard
// from an upstream every 4 s and believed 3 of 20 requests (thanthri-grown scale-2).
BOOST_AUTO_TEST_CASE(loadStatedToOthersIsPassedOn)
{
    UpstreamTable teller = soundBook();
    UpstreamTable hearer = soundBook();
    teller.report(report("a"), s_start);
    hearer.report(report("a"), s_start);
    Upstream &told = *teller.ofService("ledger").front();
    teller.requestSent(told, s_start);
    teller.applyReportedLoad(told, {4, 16, 4}, s_start + 1s);
    const auto news = teller.takeLoadObservations(10, s_start + 1100ms);
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST((news.front().age == 100ms));
    BOOST_TEST(teller.takeLoadObservations(10, s_start + 2s).empty());
    hearer.applyLoadObservation(news.front(), s_start + 1200ms);
    const Upstream &heard = *hearer.ofService("ledger").front();
    BOOST_TEST(hearer.load(heard, s_start + 1200ms) == 20.0);
    BOOST_TEST(hearer.takeLoadObservations(10, s_start + 2s).empty()); // what is heard is not passed on
}

// Guards against figures of unknown upstreams, and of an age that says nothing.
BOOST_AUTO_TEST_CASE(uselessLoadNewsIsIgnored)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    const Upstream &upstream = *book.ofService("ledger").front();
    book.applyLoadObservation({12345, 20, 4, 0ms}, s_start);
    book.applyLoadObservation({upstream.hash, 20, 4, 1h}, s_start);
    book.applyLoadObservation({upstream.hash, 20, 4, -1h}, s_start);
    BOOST_TEST(book.load(upstream, s_start) == 0.0);
}

// Guards against the time in the queue being taken for the time of the work.
BOOST_AUTO_TEST_CASE(serviceTimeLeavesOutTheQueue)
{
    UpstreamTable book = soundBook();
    book.report(report("a"), s_start);
    Upstream &upstream = *book.ofService("ledger").front();
    book.requestSent(upstream, s_start);
    book.attemptEnded(upstream, AttemptVerdict::Served, 300ms, 11, s_start); // 12 requests at 4 slots: three turns
    BOOST_TEST(upstream.serviceSeconds == 0.1, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
