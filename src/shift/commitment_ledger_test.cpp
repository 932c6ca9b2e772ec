// Tests that lookup responses count against the quota for as long as callers may cache them.

#include "trefoilstile/shift/commitment_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include "trefoilstile/shift/error.hpp"

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;

namespace
{
const RegionPair s_link{"bkk", "cnx"};
constexpr base::TimePoint s_ready = base::TimePoint{} + 60s;

struct Fixture {
    ShiftBudget budget{{1}, base::TimePoint{}};
    CommitmentLedger ledger{budget};

    Fixture()
    {
        document::SteeringDocument document;
        document.maximumEntryInstances = 12;
        document.shiftCaps = {{"bkk", "cnx", 120, 0}};
        budget.adopt({1}, document);
    }

    Units urgentAvailable(base::TimePoint now)
    {
        ledger.releaseExpired(now);
        return budget.available(s_link, Resource::Requests, base::PriorityClass::Urgent, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitmentLedgers, Fixture)

// Guards against more traffic than the quota: callers may send requests under a response until its TTL expires, and the
// I/O thread may send a granted response at any time.
BOOST_AUTO_TEST_CASE(aResponseCountsUntilItsTtlHasPassed)
{
    const LookupGrant grant = ledger.grant(s_link, 100, 500, 30s, s_ready);
    BOOST_TEST(grant.responses == 12U); // 6 requests/s: the reserves for urgent and interactive work stay free
    BOOST_TEST(urgentAvailable(s_ready + 1h) == 4000U); // an unreported grant may be sent at any time
    ledger.commit(grant.id, 4, 30s, s_ready + 1h);
    ledger.cancel(grant.id, 7);
    BOOST_TEST(urgentAvailable(s_ready + 1h + 31s) == 7500U);
    BOOST_TEST(ledger.committed(s_link) == 2000U);
    BOOST_TEST(urgentAvailable(s_ready + 1h + 32s) == 9500U);
    BOOST_CHECK_THROW(ledger.commit(grant.id, 2, 30s, s_ready), Error);
    BOOST_CHECK_THROW(ledger.commit(grant.id, 1, 31s, s_ready), Error);
    ledger.cancel(grant.id, 1);
    BOOST_CHECK_THROW(ledger.cancel(grant.id, 1), Error);
    BOOST_TEST(urgentAvailable(s_ready + 1h + 32s) == 10000U);
}

// Guards against a replacement that uses its quota while callers still cache responses of the instance that it replaces.
BOOST_AUTO_TEST_CASE(noCommitmentOutlastsTheStartHold)
{
    BOOST_TEST(ledger.grant(s_link, 1, 1000, 57s, s_ready).responses == 1U);
    BOOST_TEST(ledger.grant(s_link, 1, 1000, 59s, s_ready).responses == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
