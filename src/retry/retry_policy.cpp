// Decision after an attempt.

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
    // After the first byte the caller has part of a response, and another attempt could only add a second response.
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
