// Guards against work that runs twice, a `not-run` that is not proved, and retries that multiply an overload.

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/retry/retry_budget.hpp"
#include "trefoilstile/retry/retry_policy.hpp"

using namespace trefoilstile;
using namespace trefoilstile::retry;
using namespace std::chrono_literals;
using base::PriorityClass;
using engine::AttemptResult;

namespace
{

RetryDecision decide(const AttemptHistory &history, AttemptResult result)
{
    RetryBudget budget;
    return RetryPolicy().decide(history, result, PriorityClass::Interactive, budget, base::TimePoint(1s));
}

AttemptHistory history(bool idempotent)
{
    AttemptHistory result;
    result.idempotent = idempotent;
    result.resumable = true;
    result.remainingTime = 1s;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(onlyProofAllowsARetryOfWorkThatIsNotIdempotent)
{
    BOOST_TEST((decide(history(false), AttemptResult::RejectedNotRun) == RetryDecision::Retry));
    BOOST_TEST((decide(history(false), AttemptResult::NothingSent) == RetryDecision::Retry));
    BOOST_TEST((decide(history(false), AttemptResult::Failed) == RetryDecision::RejectUnknown));
    BOOST_TEST((decide(history(false), AttemptResult::TimedOut) == RetryDecision::RejectUnknown));
    BOOST_TEST((decide(history(false), AttemptResult::Broken) == RetryDecision::Truncate));
    BOOST_TEST((decide(history(true), AttemptResult::Failed) == RetryDecision::Retry));
    BOOST_TEST((decide(history(true), AttemptResult::TimedOut) == RetryDecision::Retry));
    BOOST_TEST((decide(history(true), AttemptResult::Completed) == RetryDecision::Done));
}

BOOST_AUTO_TEST_CASE(limitsEndInARejectionWithWhatIsProved)
{
    AttemptHistory last = history(true);
    last.attempts = 2;
    BOOST_TEST((decide(last, AttemptResult::NothingSent) == RetryDecision::RejectNotRun));
    BOOST_TEST((decide(last, AttemptResult::Failed) == RetryDecision::RejectUnknown));
    last.mayHaveRun = true; // the proof is about the last attempt only
    BOOST_TEST((decide(last, AttemptResult::NothingSent) == RetryDecision::RejectUnknown));
    AttemptHistory late = history(true);
    late.remainingTime = 10ms;
    late.minimumAttemptTime = 20ms;
    BOOST_TEST((decide(late, AttemptResult::RejectedNotRun) == RetryDecision::RejectNotRun));
    late.remainingTime = 0ms;
    late.minimumAttemptTime = 0ms;
    BOOST_TEST((decide(late, AttemptResult::RejectedNotRun) == RetryDecision::RejectNotRun));
}

BOOST_AUTO_TEST_CASE(brokenResponsesAreResumedABoundedNumberOfTimes)
{
    AttemptHistory broken = history(true);
    broken.responseStarted = true;
    BOOST_TEST((decide(broken, AttemptResult::Broken) == RetryDecision::Resume));
    BOOST_TEST((decide(broken, AttemptResult::NothingSent) == RetryDecision::Resume)); // a resumption that failed
    BOOST_TEST((decide(broken, AttemptResult::ObjectChanged) == RetryDecision::Truncate));
    broken.resumptions = RetryOptions().maximumResumptions;
    BOOST_TEST((decide(broken, AttemptResult::Broken) == RetryDecision::Truncate));
    broken.resumptions = 0;
    broken.resumable = false;
    BOOST_TEST((decide(broken, AttemptResult::Broken) == RetryDecision::Truncate));
}

RC_BOOST_PROP(decisionsKeepThePromises, (bool idempotent, bool mayHaveRun, bool started, bool resumable, std::uint8_t attempts, std::uint8_t kind))
{
    AttemptHistory any = history(idempotent);
    any.mayHaveRun = mayHaveRun;
    any.responseStarted = started;
    any.resumable = resumable;
    any.attempts = 1 + attempts % 4;
    const auto result = static_cast<AttemptResult>(kind % 7);
    const RetryDecision decision = decide(any, result);
    const bool proved = result == AttemptResult::RejectedNotRun || result == AttemptResult::NothingSent;
    RC_ASSERT(decision != RetryDecision::Retry || (!started && (idempotent || proved) && any.attempts < 2));
    RC_ASSERT(decision != RetryDecision::RejectNotRun || (proved && !mayHaveRun && !started));
    RC_ASSERT(decision != RetryDecision::Resume || (idempotent && resumable));
    RC_ASSERT(decision != RetryDecision::Done || result == AttemptResult::Completed);
}

// Waves of callers that come back together would repeat the overload that rejected them.
BOOST_AUTO_TEST_CASE(retryAfterGrowsWithOverloadAndIsSpread)
{
    const RetryPolicy policy;
    base::SplitMix64 random(3);
    for (const double overload : {0.0, 1.0, 10.0, 1e6}) {
        base::Duration least = 1h;
        base::Duration most = 0s;
        for (int count = 0; count < 1000; ++count) {
            const base::Duration span = policy.retryAfter(overload, random);
            least = std::min(least, span);
            most = std::max(most, span);
        }
        const double base = std::clamp(overload, 1.0, 60.0);
        BOOST_TEST(base::toSeconds(least) >= 0.5);
        BOOST_TEST(base::toSeconds(most) <= 2.0 * base - 0.5);
        BOOST_TEST(base::toSeconds(most - least) > 0.9 * (2.0 * base - 1.0));
    }
}

BOOST_AUTO_TEST_CASE(budgetIsAShareOfFirstAttempts)
{
    RetryBudget budget;
    const base::TimePoint now(1s);
    int retries = 0;
    for (int count = 0; count < 1000; ++count) {
        budget.recordFirstAttempt(PriorityClass::Bulk, now);
        retries += budget.tryRetry(PriorityClass::Bulk, now) ? 1 : 0;
    }
    BOOST_TEST(retries >= 100);
    BOOST_TEST(retries <= 103);
    BOOST_TEST(budget.tryRetry(PriorityClass::Urgent, now)); // another class has its own
}

BOOST_AUTO_TEST_CASE(quietServiceHasASmallReserveThatDoesNotGrow)
{
    RetryBudget budget;
    int retries = 0;
    while (budget.tryRetry(PriorityClass::Urgent, base::TimePoint(24h))) {
        ++retries;
    }
    BOOST_TEST(retries == 3);
    BOOST_TEST(budget.tryRetry(PriorityClass::Urgent, base::TimePoint(24h + 11s)));
    BOOST_TEST(!budget.tryRetry(PriorityClass::Urgent, base::TimePoint(24h + 11s)));
    RetryBudget none({0.0});
    BOOST_TEST(!none.tryRetry(PriorityClass::Urgent, base::TimePoint(24h)));
}

RC_BOOST_PROP(budgetBoundsRetriesInAnyOrder, (const std::vector<std::pair<bool, std::uint8_t>> &events))
{
    RetryBudget budget;
    const BudgetOptions options;
    base::TimePoint now(1s);
    double bound = options.reserve;
    for (const auto &[isRetry, step] : events) {
        now += std::chrono::milliseconds(10 * step);
        bound += options.reserve * 0.01 * step / 30.0;
        if (isRetry) {
            bound -= budget.tryRetry(PriorityClass::Bulk, now) ? 1.0 : 0.0;
        } else {
            budget.recordFirstAttempt(PriorityClass::Bulk, now);
            bound += options.share;
        }
        RC_ASSERT(bound > -1e-6);
        RC_ASSERT(budget.left(PriorityClass::Bulk) >= 0.0);
        RC_ASSERT(budget.left(PriorityClass::Bulk) <= options.most);
    }
}

BOOST_AUTO_TEST_SUITE_END()
