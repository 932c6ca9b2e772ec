// Decides what follows an attempt: a retry, a resumption, or a rejection that states whether the request can have run.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/retry/retry_budget.hpp"

namespace trefoilstile::retry
{

/// Action after an attempt has ended.
enum class RetryDecision : std::uint8_t {
    Done, ///< the response is complete
    Retry, ///< start another attempt, at another upstream if one is available
    Resume, ///< request the rest of the body from another upstream
    RejectNotRun, ///< reject; it is proved that no attempt ran
    RejectUnknown, ///< reject; an attempt may have run
    Truncate, ///< part of the response has been sent and the rest is unavailable: end the response so that the caller detects it
};

struct RetryOptions {
    std::uint32_t maximumAttempts = 2; ///< first one included; the document's `RetryLimits::maximumAttempts`
    std::uint32_t maximumResumptions = 3; ///< for each response; enough for a rolling drain of three upstreams
    base::Duration retryAfterBase = std::chrono::seconds(1); ///< mean `Retry-After` without overload
    base::Duration maximumMeanRetryAfter = std::chrono::seconds(60); ///< upper bound of the mean `Retry-After`
};

/// State of a request after an attempt has ended.
struct AttemptHistory {
    bool idempotent = false;
    std::uint32_t attempts = 1; ///< attempts started so far, including the one that has ended, excluding resumptions
    std::uint32_t resumptions{}; ///< resumptions started so far
    bool mayHaveRun = false; ///< an earlier attempt ended without proof that it did not run
    bool responseStarted = false; ///< at least one byte of the response has been sent to the caller
    bool resumable = false; ///< the response allows the rest of its body to be requested
    base::Duration remainingTime{}; ///< time until the deadline for the first byte of the response
    base::Duration minimumAttemptTime{}; ///< with less remaining time, an attempt is unlikely to respond before the deadline
};

/// True if the result proves that the attempt did not run.
constexpr bool provesNotRun(engine::AttemptResult result)
{
    return result == engine::AttemptResult::RejectedNotRun || result == engine::AttemptResult::NothingSent;
}

/// Decides about retries: a request that is not idempotent is retried only if the last attempt is proved not to have run.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {})
        : m_options(options)
    {
    }

    /// Decides what follows an attempt. Takes a retry out of the budget only if the decision is `Retry`.
    RetryDecision decide(
        const AttemptHistory &history, engine::AttemptResult result, base::PriorityClass priorityClass, RetryBudget &budget, base::TimePoint now) const;

    /// Random time after which a rejected caller may try again. `overload` is demand divided by capacity: at n times the
    /// capacity, the mean is n times the base, up to `RetryOptions::maximumMeanRetryAfter`. The range begins at half the
    /// base, so that some of the callers rejected together return soon and keep the upstreams busy, while the others are
    /// spread over the time that it takes to serve all of them.
    template<base::RandomSource R>
    base::Duration retryAfter(double overload, R &random) const
    {
        const double factor = std::clamp(overload, 1.0, base::toSeconds(m_options.maximumMeanRetryAfter) / base::toSeconds(m_options.retryAfterBase));
        const double drawn = 0.5 + (2.0 * factor - 1.0) * base::uniformUnit(random);
        return base::fromSeconds(drawn * base::toSeconds(m_options.retryAfterBase));
    }

    const RetryOptions &options() const
    {
        return m_options;
    }

private:
    RetryOptions m_options;
};

} // namespace trefoilstile::retry
