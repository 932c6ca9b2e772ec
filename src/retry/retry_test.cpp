// Tests of retry decisions and budgets: no request that is not idempotent may run twice, `not-run` must be proved, and
// retries must not multiply an overload.

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

// A retry without proof that the first attempt did not run could run a request twice that is not idempotent.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestsAreRetriedOnlyIfProvedNotRun)
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

// A rejection with `not-run` although an earlier attempt may have run would make the caller repeat work. Retries end at the
// maximum number of attempts and when too little time remains.
BOOST_AUTO_TEST_CASE(exhaustedRetriesRejectWithTheProvedOutcome)
{
    AttemptHistory last = history(true);
    last.attempts = 2;
    BOOST_TEST((decide(last, AttemptResult::NothingSent) == RetryDecision::RejectNotRun));
    BOOST_TEST((decide(last, AttemptResult::Failed) == RetryDecision::RejectUnknown));
    last.mayHaveRun = true; // the proof covers only the last attempt
    BOOST_TEST((decide(last, AttemptResult::NothingSent) == RetryDecision::RejectUnknown));
    AttemptHistory late = history(true);
    late.remainingTime = 10ms;
    late.minimumAttemptTime = 20ms;
    BOOST_TEST((decide(late, AttemptResult::RejectedNotRun) == RetryDecision::RejectNotRun));
    late.remainingTime = 0ms;
    late.minimumAttemptTime = 0ms;
    BOOST_TEST((decide(late, AttemptResult::RejectedNotRun) == RetryDecision::RejectNotRun));
}

// A response that breaks repeatedly must not be resumed without end, and a resumption of a changed or non-resumable object
// would give the caller a mixed body.
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

// No combination of history and result may give a retry, resumption or `not-run` for which the conditions are not met.
RC_BOOST_PROP(
    decisionsRespectProofIdempotencyAndLimits, (bool idempotent, bool mayHaveRun, bool started, bool resumable, std::uint8_t attempts, std::uint8_t kind))
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

// Callers that are rejected together and return together would repeat the overload that rejected them.
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

// When every request fails, unlimited retries would double the load of the service. The budget of one class must not limit
// another class.
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
    BOOST_TEST(budget.tryRetry(PriorityClass::Urgent, now)); // each class has its own budget
}

// A service with few requests needs some retries, but a long idle time must not accumulate a burst of them. A share of 0
// allows none.
BOOST_AUTO_TEST_CASE(idleServiceRefillsOnlyToTheReserve)
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

// For every order of first attempts, retries and idle time, the retries must stay within reserve, refill and share.
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
        RC_ASSERT(budget.available(PriorityClass::Bulk) >= 0.0);
        RC_ASSERT(budget.available(PriorityClass::Bulk) <= options.maximum);
    }
}

BOOST_AUTO_TEST_SUITE_END()
