// Tests of the fixed quota, the reserves for urgent and interactive work, fractional quotas and held amounts.

#include "trefoilstile/shift/shift_budget.hpp"

#include <boost/test/unit_test.hpp>

#include "trefoilstile/shift/error.hpp"

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;
using base::PriorityClass;

namespace
{
const RegionPair s_link{"bkk", "cnx"};
constexpr base::TimePoint s_start{};
constexpr base::TimePoint s_ready = s_start + 60s;

document::SteeringDocument documentWith(double requests, double bytes, std::uint32_t instances)
{
    document::SteeringDocument document;
    document.maximumEntryInstances = instances;
    document.shiftCaps = {{"bkk", "cnx", requests, bytes}};
    return document;
}

ShiftBudget budgetWith(std::uint64_t self, double requests, std::uint32_t instances)
{
    ShiftBudget budget({self}, s_start);
    budget.adopt({1}, documentWith(requests, 1200, instances));
    return budget;
}

int take(ShiftBudget &budget, PriorityClass priorityClass, base::TimePoint now)
{
    int taken = 0;
    while (budget.tryTakeRequest(s_link, priorityClass, now)) {
        ++taken;
    }
    return taken;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ShiftBudgets)

// Guards against bulk work that uses the whole quota, so that urgent and interactive work finds none in the window.
BOOST_AUTO_TEST_CASE(bulkLeavesTheReservesFree)
{
    ShiftBudget budget = budgetWith(1, 120, 12);
    BOOST_TEST(take(budget, PriorityClass::Bulk, s_ready) == 6);
    BOOST_TEST(take(budget, PriorityClass::Interactive, s_ready) == 2);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready) == 2);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 1s) == 0);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 1001ms) == 10);
    BOOST_TEST(budget.takeBytes(s_link, PriorityClass::Bulk, 1000, s_ready) == 60U);
}

// Guards against a replacement that uses its quota together with the replaced instance, and against traffic between
// regions that have no cap.
BOOST_AUTO_TEST_CASE(quotaIsZeroDuringTheStartHoldAndWithoutACap)
{
    ShiftBudget budget = budgetWith(1, 120, 12);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready - 1ns) == 0);
    BOOST_TEST(!budget.tryTakeRequest({"cnx", "bkk"}, PriorityClass::Urgent, s_ready));
    BOOST_CHECK_THROW(ShiftBudget({1}, s_start, {.startHold = 10s}), Error);
}

// Guards against use under the old quota after a document lowered or removed a cap.
BOOST_AUTO_TEST_CASE(lowerCapTakesEffectImmediately)
{
    ShiftBudget budget = budgetWith(1, 120, 12);
    take(budget, PriorityClass::Urgent, s_ready);
    budget.adopt({2}, documentWith(24, 0, 12));
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 500ms) == 0);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 1500ms) == 2);
    document::SteeringDocument noCaps;
    noCaps.maximumEntryInstances = 12;
    budget.adopt({3}, noCaps);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 5s) == 0);
}

// Guards against rounding a fractional quota up: 12 instances with half a request each would use twice the cap if all
// sent one request in the same second.
BOOST_AUTO_TEST_CASE(fractionsAreUsableOnlyWhenCombinedByLoans)
{
    ShiftBudget lender = budgetWith(1, 6, 12);
    ShiftBudget holder = budgetWith(2, 6, 12);
    BOOST_TEST(take(holder, PriorityClass::Urgent, s_ready) == 0);
    const auto request = holder.loans().requestLoan({1}, s_link, Resource::Requests, 500, 5s, s_ready);
    const auto grant = lender.onLoanRequest(*request, s_ready);
    BOOST_TEST(holder.loans().accept(*grant, s_ready));
    BOOST_TEST(take(holder, PriorityClass::Urgent, s_ready) == 1);
    BOOST_TEST(lender.lendable(s_link, Resource::Requests, s_ready) == 0U);
}

// Guards against a held amount that is counted when it is reserved, so that the window has passed when the I/O thread uses
// it.
BOOST_AUTO_TEST_CASE(heldAmountsCountUntilReported)
{
    ShiftBudget budget = budgetWith(1, 120, 12);
    BOOST_TEST(budget.hold(s_link, Resource::Requests, PriorityClass::Urgent, 9500, 1000, s_ready) == 9000U);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 10s) == 1);
    budget.useHeld(s_link, Resource::Requests, PriorityClass::Urgent, 9000, s_ready + 10s);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 10500ms) == 0);
    BOOST_TEST(take(budget, PriorityClass::Urgent, s_ready + 11001ms) == 10);
    BOOST_CHECK_THROW(budget.release(s_link, Resource::Requests, 1), Error);
}

BOOST_AUTO_TEST_SUITE_END()
