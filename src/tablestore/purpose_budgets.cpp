// Token buckets; a purpose may borrow tokens of purposes with lower precedence.

#include "trefoilstile/tablestore/purpose_budgets.hpp"

#include <algorithm>

namespace trefoilstile::tablestore
{

PurposeBudgets::PurposeBudgets(const PurposeBudgetOptions &options)
    : m_options(options)
{
    for (std::size_t access = 0; access < s_accessCount; ++access) {
        for (std::size_t purpose = 0; purpose < s_purposeCount; ++purpose) {
            m_tokens[access][purpose] = m_options.rates[access][purpose].burst;
        }
    }
}

bool PurposeBudgets::tryTake(Access access, Purpose purpose, base::TimePoint now)
{
    refill(now);
    auto &tokens = m_tokens[static_cast<std::size_t>(access)];
    const auto own = static_cast<std::size_t>(purpose);
    std::size_t source = own;
    for (std::size_t lower = s_purposeCount; tokens[source] < 1.0 && lower-- > own;) {
        source = lower;
    }
    if (tokens[source] < 1.0) {
        return false;
    }
    tokens[source] -= 1.0;
    return true;
}

double PurposeBudgets::tokens(Access access, Purpose purpose) const
{
    return m_tokens[static_cast<std::size_t>(access)][static_cast<std::size_t>(purpose)];
}

void PurposeBudgets::refill(base::TimePoint now)
{
    const base::TimePoint last = m_refilledUntil.value_or(now);
    m_refilledUntil = std::max(last, now);
    const double seconds = base::toSeconds(*m_refilledUntil - last);
    for (std::size_t access = 0; access < s_accessCount; ++access) {
        for (std::size_t purpose = 0; purpose < s_purposeCount; ++purpose) {
            const BudgetRate &rate = m_options.rates[access][purpose];
            double &tokens = m_tokens[access][purpose];
            tokens = std::min(rate.burst, tokens + seconds * rate.perSecond);
        }
    }
}

} // namespace trefoilstile::tablestore
