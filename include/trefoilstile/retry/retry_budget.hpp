// Bounds the extra load that retries put on a service.
#pragma once

#include <algorithm>
#include <chrono>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::retry
{

/// Size of a budget.
struct BudgetOptions {
    double share = 0.1; ///< retries allowed for each first attempt; the document's `RetryLimits::budget`
    /// Retries that a service with few requests may make; the budget refills to this many in `reservePeriod`.
    double reserve = 3.0;
    base::Duration reservePeriod = std::chrono::seconds(30);
    /// Most retries that first attempts can save up. Covers an upstream that dies with a few dozen requests in flight.
    double most = 20.0;
};

/// Retry budget of one service, counted for each class, so that a flood of one class uses up no other's retries.
class RetryBudget
{
public:
    explicit RetryBudget(BudgetOptions options = {})
        : m_options(options)
    {
        m_options.most = std::max(m_options.most, m_options.reserve);
        m_tokens.values.fill(m_options.share > 0.0 ? m_options.reserve : 0.0);
    }

    /// Takes another share from a new document; what is left stays.
    void setShare(double share)
    {
        m_options.share = share;
    }

    /// A request of the class is attempted for the first time.
    void recordFirstAttempt(base::PriorityClass priorityClass, base::TimePoint now)
    {
        refill(priorityClass, now);
        m_tokens[priorityClass] = std::min(m_tokens[priorityClass] + m_options.share, m_options.most);
    }

    /// Takes one retry out of the budget, or returns false if there is none.
    bool tryRetry(base::PriorityClass priorityClass, base::TimePoint now)
    {
        refill(priorityClass, now);
        // A share such as 0.1 adds up to a whole retry only but for rounding.
        constexpr double rounding = 1e-9;
        if (m_options.share <= 0.0 || m_tokens[priorityClass] < 1.0 - rounding) {
            return false;
        }
        m_tokens[priorityClass] = std::max(0.0, m_tokens[priorityClass] - 1.0);
        return true;
    }

    double left(base::PriorityClass priorityClass) const
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
        // Time alone fills up to the reserve and takes nothing away above it.
        tokens = std::max(tokens, std::min(tokens + added, m_options.reserve));
    }

    BudgetOptions m_options;
    base::PerClass<double> m_tokens; // 0 to most; above the reserve only from first attempts
    base::PerClass<base::TimePoint> m_refilledAt;
};

} // namespace trefoilstile::retry
