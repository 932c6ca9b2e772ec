// Rules for the proof that each retry needs.

#include "trefoilstile/retry/retry_policy.hpp"

namespace trefoilstile::retry
{

using engine::AttemptResult;

RetryDecision RetryPolicy::decide(
    const AttemptHistory &history, AttemptResult result, base::PriorityClass priorityClass, RetryBudget &budget, base::TimePoint now) const
{
    if (result == AttemptResult::Completed) {
        return RetryDecision::Done;
    }
    // Once a byte has gone out the caller holds part of a response; another attempt could only send a second one.
    if (history.responseStarted || result == AttemptResult::Broken || result == AttemptResult::ObjectChanged) {
        const bool resume =
            history.idempotent && history.resumable && result != AttemptResult::ObjectChanged && history.resumptions < m_options.maximumResumptions;
        return resume ? RetryDecision::Resume : RetryDecision::Truncate;
    }
    const bool proved = provesNotRun(result);
    const bool allowed = (proved || history.idempotent) && history.attempts < m_options.maximumAttempts && history.remainingTime > base::Duration(0)
        && history.remainingTime >= history.minimumAttemptTime;
    if (allowed && budget.tryRetry(priorityClass, now)) {
        return RetryDecision::Retry;
    }
    return proved && !history.mayHaveRun ? RetryDecision::RejectNotRun : RetryDecision::RejectUnknown;
}

} // namespace trefoilstile::retry
