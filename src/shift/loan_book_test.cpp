// Tests that lender and holder never use the same quota, for each message alone; shift_model_test.cpp covers combinations.

#include "trefoilstile/shift/loan_book.hpp"

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;

namespace
{
const RegionPair s_link{"bkk", "cnx"};
constexpr base::TimePoint s_start{};

struct Fixture {
    ShiftOptions options;
    LoanBook lender{{1}, options};
    LoanBook holder{{2}, options};
    LoanRequest request;
    LoanGrant grant;

    Fixture()
    {
        lender.adopt({7});
        holder.adopt({7});
        request = holder.requestLoan({1}, s_link, Resource::Requests, 5000, 10s, s_start).value();
        grant = lender.onRequest(request, 3000, true, s_start + 1s).value();
    }

    Units borrowed(base::TimePoint now)
    {
        return holder.borrowed(s_link, Resource::Requests, now);
    }

    Units lent(base::TimePoint now)
    {
        return lender.lent(s_link, Resource::Requests, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(LoanBooks, Fixture)

// Guards against quota that both sides use around the end of a lease: for clock errors the holder stops earlier and the lender
// waits longer by the lease margin.
BOOST_AUTO_TEST_CASE(holderStopsBeforeTheLenderResumes)
{
    BOOST_TEST(grant.amount == 3000U);
    BOOST_TEST(holder.accept(grant, s_start + 2s));
    BOOST_TEST(!holder.accept(grant, s_start + 2s));
    BOOST_TEST(borrowed(s_start + 9s - 1ns) == 3000U); // until 9 s after the request
    BOOST_TEST(borrowed(s_start + 9s) == 0U);
    BOOST_TEST(lent(s_start + 13s) == 3000U); // until 11 s and one window after the grant
    BOOST_TEST(lent(s_start + 13001ms) == 0U);
}

// Guards against use of an amount that the lender never granted or counts as its own again.
BOOST_AUTO_TEST_CASE(lateAndForeignGrantsHaveNoEffect)
{
    BOOST_TEST(!holder.accept({request.id, {3}, 3000, 0}, s_start + 2s));
    BOOST_TEST(!holder.accept({request.id, {1}, 5001, 0}, s_start + 2s));
    BOOST_TEST(!holder.accept(grant, s_start + 9s));
    BOOST_TEST(borrowed(s_start + 9s) == 0U);
}

// Guards against a repeated request that is lent twice, and against grants for another document or another lender.
BOOST_AUTO_TEST_CASE(repeatedRequestsGetTheSameGrant)
{
    BOOST_TEST(lender.onRequest(request, 9000, true, s_start + 5s)->amount == 3000U);
    BOOST_TEST(lent(s_start + 5s) == 3000U);
    LoanRequest other = request;
    other.id.sequence = 99;
    other.generation = {6};
    BOOST_TEST(!lender.onRequest(other, 9000, true, s_start).has_value());
    other.generation = {7};
    other.lender = {4};
    BOOST_TEST(!lender.onRequest(other, 9000, true, s_start).has_value());
}

// Guards against a late grant that reopens a returned loan, and against a lender that reuses the amount while the
// holder's last use is still within the window.
BOOST_AUTO_TEST_CASE(returnedLoansAreNeverUsedAgain)
{
    holder.accept(grant, s_start + 2s);
    const auto message = holder.returnLoan(request.id);
    BOOST_TEST(borrowed(s_start + 2s) == 0U);
    BOOST_TEST(!holder.accept(grant, s_start + 2s));
    BOOST_TEST(!holder.renew(request.id, s_start + 2s).has_value());
    lender.onReturn(*message, s_start + 3s);
    BOOST_TEST(lent(s_start + 4s) == 3000U); // the last use is still within the window
    BOOST_TEST(lent(s_start + 4001ms) == 0U);
    const auto again = lender.onRequest(request, 2000, true, s_start + 5s); // delayed copy of the request
    BOOST_TEST(!holder.accept(*again, s_start + 5s));
    BOOST_TEST(!holder.returnLoan(request.id).has_value());
}

// Guards against extensions by a grant for an earlier round or after the lender's period has ended.
BOOST_AUTO_TEST_CASE(lateExtensionsHaveNoEffect)
{
    holder.accept(grant, s_start + 2s);
    const LoanRequest second = holder.renew(request.id, s_start + 6s).value();
    const LoanGrant late = lender.onRequest(second, 0, true, s_start + 7s).value();
    BOOST_TEST(!lender.onRequest(second, 0, false, s_start + 7s).has_value());
    const LoanRequest third = holder.renew(request.id, s_start + 8s).value();
    BOOST_TEST(!holder.accept(late, s_start + 8s)); // only a grant for the latest round is accepted
    BOOST_TEST(borrowed(s_start + 9s) == 0U);
    BOOST_TEST(lent(s_start + 19s) == 3000U);
    BOOST_TEST(!lender.onRequest(third, 5000, true, s_start + 20s).has_value()); // expired; an extension does not open a new loan
}

// Guards against extensions that end for the lender before they end for the holder.
BOOST_AUTO_TEST_CASE(extendedLoanIsUsableLonger)
{
    holder.accept(grant, s_start + 2s);
    const LoanRequest second = holder.renew(request.id, s_start + 6s).value();
    BOOST_TEST(holder.accept(lender.onRequest(second, 0, true, s_start + 7s).value(), s_start + 8s));
    BOOST_TEST(borrowed(s_start + 15s - 1ns) == 3000U);
    BOOST_TEST(borrowed(s_start + 15s) == 0U);
    BOOST_TEST(lent(s_start + 19s) == 3000U);
}

// Guards against use of a loan under a document that is no longer in effect at any instance.
BOOST_AUTO_TEST_CASE(anotherDocumentClosesBorrowedLoans)
{
    holder.accept(grant, s_start + 2s);
    const LoanRequest second = holder.renew(request.id, s_start + 3s).value();
    lender.adopt({8});
    BOOST_TEST(lent(s_start + 4s) == 3000U);
    BOOST_TEST(!lender.onRequest(second, 5000, true, s_start + 4s).has_value());
    holder.adopt({8});
    BOOST_TEST(borrowed(s_start + 4s) == 0U);
    BOOST_TEST(!holder.accept(grant, s_start + 4s));
}

BOOST_AUTO_TEST_SUITE_END()
