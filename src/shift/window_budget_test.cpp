// Tests that no window has more use than the quota, and that memory does not grow with the rate of use.

#include "trefoilstile/shift/window_budget.hpp"

#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;

namespace
{
struct Use {
    base::TimePoint at;
    Units amount;
};

/// Largest sum of uses in any half-open window of 1 s. It is enough to check windows that start at a use.
Units peak(const std::vector<Use> &uses)
{
    Units highest = 0;
    for (std::size_t first = 0; first < uses.size(); ++first) {
        Units sum = 0;
        for (std::size_t i = first; i < uses.size() && uses[i].at < uses[first].at + 1s; ++i) {
            sum += uses[i].amount;
        }
        highest = std::max(highest, sum);
    }
    return highest;
}
} // namespace

BOOST_AUTO_TEST_SUITE(WindowBudgets)

// Guards against windows, at any offset, in which more than the quota is used.
RC_BOOST_PROP(anyWindowIsWithinTheQuota, ())
{
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 300), rc::gen::inRange(1, 8)));
    WindowBudget budget(10, 1s);
    base::TimePoint now{};
    std::vector<Use> uses;
    for (const auto &[milliseconds, amount] : steps) {
        now += std::chrono::milliseconds(milliseconds);
        uses.push_back({now, budget.takeUpTo(static_cast<Units>(amount), now)});
    }
    RC_ASSERT(peak(uses) <= 10U);
}

// Checks that `peak` detects the fault of a fixed window that is reset each second: it allows two quotas around the reset.
BOOST_AUTO_TEST_CASE(peakDetectsTwoQuotasAroundTheResetOfAFixedWindow)
{
    std::vector<Use> uses{{base::TimePoint{} + 900ms, 10}, {base::TimePoint{} + 1100ms, 10}};
    BOOST_TEST(peak(uses) == 20U);
}

// Guards against a use that is dropped too early or too late, and against a lower quota that is not applied.
BOOST_AUTO_TEST_CASE(useCountsForExactlyOneWindow)
{
    WindowBudget budget(2, 1s);
    const base::TimePoint start{};
    BOOST_TEST(budget.tryTake(2, start));
    BOOST_TEST(!budget.tryTake(1, start + 1s - 1ns));
    BOOST_TEST(budget.tryTake(1, start + 1s));
    budget.setQuota(1);
    BOOST_TEST(budget.available(start + 1s) == 0U);
}

// Guards against one slot for each use: 50,000 uses/s must not need more slots than the bound.
BOOST_AUTO_TEST_CASE(memoryIsBoundedAtAnyRate)
{
    SlidingWindow window(1s);
    std::size_t most = 0;
    for (int i = 0; i < 200'000; ++i) {
        window.record(1, base::TimePoint{} + i * 20us);
        most = std::max(most, window.slots());
    }
    BOOST_TEST(most <= 130U);
    BOOST_TEST(most >= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
