// Tests of the request budgets by purpose.

#include "trefoilstile/tablestore/purpose_budgets.hpp"

#include <algorithm>
#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile::tablestore;
using namespace trefoilstile::base;

namespace
{

/// Tolerance for rounding errors of sums, in tokens.
constexpr double s_rounding = 1e-6;

} // namespace

BOOST_AUTO_TEST_SUITE(Budgets)

// Guards against statistics or claims that use up the budget of documents and drains. For any sequence of requests, each
// purpose and those below it together never exceed the sum of their rates. A purpose that stays within its own rate is
// never refused because of lower ones, only because of a higher one that has exceeded its own rate and borrowed tokens.
RC_BOOST_PROP(higherPurposesTakePrecedence, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps))
{
    const PurposeBudgetOptions options;
    PurposeBudgets budgets(options);
    TimePoint now;
    std::array<std::array<double, s_purposeCount>, s_accessCount> granted{};
    std::array<std::array<double, s_purposeCount>, s_accessCount> own{}; // tokens of each purpose without borrowing
    std::array<std::size_t, s_accessCount> highestBorrower{s_purposeCount, s_purposeCount};
    for (std::size_t access = 0; access < s_accessCount; ++access) {
        for (std::size_t purpose = 0; purpose < s_purposeCount; ++purpose) {
            own[access][purpose] = options.rates[access][purpose].burst;
        }
    }
    for (const auto &[what, milliseconds] : steps) {
        now += std::chrono::milliseconds(milliseconds % 50);
        const std::size_t access = what % 2;
        const std::size_t purpose = what / 2 % 3;
        for (std::size_t each = 0; each < s_purposeCount; ++each) {
            const BudgetRate &rate = options.rates[access][each];
            const BudgetRate &other = options.rates[1 - access][each];
            const double seconds = toSeconds(std::chrono::milliseconds(milliseconds % 50));
            own[access][each] = std::min(rate.burst, own[access][each] + seconds * rate.perSecond);
            own[1 - access][each] = std::min(other.burst, own[1 - access][each] + seconds * other.perSecond);
        }
        const bool taken = budgets.tryTake(static_cast<Access>(access), static_cast<Purpose>(purpose), now);
        // `own` is summed in the same order as in `PurposeBudgets`, so that both have the same rounding errors.
        RC_ASSERT(taken || own[access][purpose] < 1.0 || purpose > highestBorrower[access]);
        if (own[access][purpose] >= 1.0) {
            own[access][purpose] -= 1.0;
        } else if (taken) {
            highestBorrower[access] = std::min(highestBorrower[access], purpose);
        }
        granted[access][purpose] += taken ? 1.0 : 0.0;
        double used = 0;
        double allowed = 0;
        for (std::size_t lower = s_purposeCount; lower-- > 0;) {
            const BudgetRate &rate = options.rates[access][lower];
            used += granted[access][lower];
            allowed += rate.burst + toSeconds(now - TimePoint()) * rate.perSecond;
            RC_ASSERT(used <= allowed + s_rounding);
        }
    }
}

// Documents must be able to borrow all unused write tokens (8 + 20 + 2); reads have budgets of their own.
BOOST_AUTO_TEST_CASE(documentsBorrowUnusedTokens)
{
    PurposeBudgets budgets;
    int taken = 0;
    while (budgets.tryTake(Access::Write, Purpose::Documents, TimePoint())) {
        ++taken;
    }
    BOOST_TEST(taken == 8 + 20 + 2);
    BOOST_TEST(!budgets.tryTake(Access::Write, Purpose::Statistics, TimePoint()));
    BOOST_TEST(budgets.tryTake(Access::Read, Purpose::Statistics, TimePoint()));
}

BOOST_AUTO_TEST_SUITE_END()
