// What to do after an attempt has ended: retry elsewhere, resume, or reject with what is proved about the request.
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

/// What follows an attempt.
enum class RetryDecision : std::uint8_t {
    Done, ///< the response is complete
    Retry, ///< start another attempt, at another upstream if there is one
    Resume, ///< ask another upstream for the rest of the body
    RejectNotRun, ///< reject; proved that no attempt ran
    RejectUnknown, ///< reject; some attempt may have run
    Truncate, ///< part of the response has gone out and the rest is not to be had: end it visibly
};

struct RetryOptions {
    std::uint32_t maximumAttempts = 2; ///< first one included; the document's `RetryLimits::maximumAttempts`
    std::uint32_t maximumResumptions = 3; ///< of one response; enough for a rolling drain of three upstreams
    base::Duration retryAfterBase = std::chrono::seconds(1); ///< of `Retry-After` without overload
    base::Duration retryAfterMost = std::chrono::seconds(60); ///< bound of the mean
};

/// A request after an attempt, as the policy sees it.
struct AttemptHistory {
    bool idempotent = false;
    std::uint32_t attempts = 1; ///< started so far, the one that has ended included, resumptions excluded
    std::uint32_t resumptions{}; ///< started so far
    bool mayHaveRun = false; ///< an earlier attempt ended without proof that it did not run
    bool responseStarted = false; ///< a byte of the response has been passed on
    bool resumable = false; ///< the response has what a resumption needs
    base::Duration remainingTime{}; ///< until the first byte of the response is due
    base::Duration minimumAttemptTime{}; ///< an attempt with less time left would hardly respond in time
};

/// True if the result proves that the attempt did not run.
constexpr bool provesNotRun(engine::AttemptResult result)
{
    return result == engine::AttemptResult::RejectedNotRun || result == engine::AttemptResult::NothingSent;
}

/// Rules for the proof that each retry needs.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {})
        : m_options(options)
    {
    }

    /// Decides after an attempt; takes a retry out of the budget only if the decision is `Retry`.
    RetryDecision decide(
        const AttemptHistory &history, engine::AttemptResult result, base::PriorityClass priorityClass, RetryBudget &budget, base::TimePoint now) const;

    /// Time after which a rejected caller may try again. `overload` is demand over capacity: at n times the capacity,
    /// n times the base on average. Drawn from a range that begins at half the base, so that some callers of a wave come
    /// back soon and keep the upstreams busy, while the others are spread over the time that serving them takes.
    template<base::RandomSource R>
    base::Duration retryAfter(double overload, R &random) const
    {
        const double factor = std::clamp(overload, 1.0, base::toSeconds(m_options.retryAfterMost) / base::toSeconds(m_options.retryAfterBase));
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
