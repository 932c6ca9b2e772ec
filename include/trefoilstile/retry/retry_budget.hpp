// Token-bucket budget that bounds the additional load of retries on a service.
#pragma once

#include <algorithm>
#include <chrono>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::retry
{

/// Parameters of a budget.
struct BudgetOptions {
    double share = 0.1; ///< retries allowed for each first attempt; the document's `RetryLimits::budget`
    /// Retries available without first attempts, for services with few requests. An empty budget refills to this number
    /// within `reservePeriod`.
    double reserve = 3.0;
    base::Duration reservePeriod = std::chrono::seconds(30);
    /// Maximum number of retries that first attempts can accumulate. Covers an upstream that fails with a few dozen requests
    /// in flight.
    double maximum = 20.0;
};

/// Retry budget of one service, counted separately for each priority class, so that many requests of one class cannot use up
/// the retries of another.
class RetryBudget
{
public:
    explicit RetryBudget(BudgetOptions options = {})
        : m_options(options)
    {
        m_options.maximum = std::max(m_options.maximum, m_options.reserve);
        m_tokens.values.fill(m_options.share > 0.0 ? m_options.reserve : 0.0);
    }

    /// Sets the share from a new document. The retries available now do not change.
    void setShare(double share)
    {
        m_options.share = share;
    }

    /// Records the first attempt of a request, which adds `BudgetOptions::share` to the budget of its class.
    void recordFirstAttempt(base::PriorityClass priorityClass, base::TimePoint now)
    {
        refill(priorityClass, now);
        m_tokens[priorityClass] = std::min(m_tokens[priorityClass] + m_options.share, m_options.maximum);
    }

    /// Takes one retry out of the budget of the class. Returns false if less than one is available.
    bool tryRetry(base::PriorityClass priorityClass, base::TimePoint now)
    {
        refill(priorityClass, now);
        // Shares such as 0.1 add up to a whole retry only within rounding errors.
        constexpr double rounding = 1e-9;
        if (m_options.share <= 0.0 || m_tokens[priorityClass] < 1.0 - rounding) {
            return false;
        }
        m_tokens[priorityClass] = std::max(0.0, m_tokens[priorityClass] - 1.0);
        return true;
    }

    /// Retries available at the last refill; may be fractional.
    double available(base::PriorityClass priorityClass) const
    {
        return m_tokens[priorityClass];
    }

private:
    void refill(base::PriorityClass priorityClass, base::TimePoint now)
    {
        const double elapsed = std::max(0.0, base::toSeconds(now - m_refilledAt[priorityClass]));
        m_refilledAt[priorityClass] = std::max(m_refilledAt[priorityClass], now);
        const double added = m_options.reserve * elapsed / base::toSeconds(m_options.reservePeriod);
        double &tokens = m_tokens[priorityClass];
        // Elapsed time refills only up to the reserve; tokens above it are kept.
        tokens = std::max(tokens, std::min(tokens + added, m_options.reserve));
    }

    BudgetOptions m_options;
    base::PerClass<double> m_tokens; // 0 to maximum; above the reserve only through first attempts
    base::PerClass<base::TimePoint> m_refilledAt;
};

} // namespace trefoilstile::retry
