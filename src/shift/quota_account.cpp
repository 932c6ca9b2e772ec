// Use by priority class, and the reserves for the more urgent classes.

#include "trefoilstile/shift/quota_account.hpp"

#include <algorithm>

#include "trefoilstile/shift/error.hpp"

namespace trefoilstile::shift
{

namespace
{
constexpr std::size_t index(base::PriorityClass priorityClass)
{
    return static_cast<std::size_t>(priorityClass);
}

/// Difference, or 0 if `part` exceeds `amount`.
constexpr Units subtractToZero(Units amount, Units part)
{
    return amount > part ? amount - part : 0;
}
} // namespace

QuotaAccount::QuotaAccount(const ShiftOptions &options, Units minimumUrgentReserve)
    : m_urgentReserve(options.urgentReserve)
    , m_interactiveReserve(options.interactiveReserve)
    , m_minimumUrgentReserve(minimumUrgentReserve)
    , m_used{SlidingWindow(options.localWindow()), SlidingWindow(options.localWindow()), SlidingWindow(options.localWindow())}
{
}

Units QuotaAccount::available(base::PriorityClass priorityClass, Units allowance, base::TimePoint now)
{
    return subtractToZero(allowance, used(now) + m_held + reservedAgainst(priorityClass, allowance, now));
}

void QuotaAccount::use(base::PriorityClass priorityClass, Units amount, base::TimePoint now)
{
    if (amount != 0) {
        m_used[index(priorityClass)].record(amount, now);
    }
}

void QuotaAccount::hold(Units amount)
{
    m_held += amount;
}

void QuotaAccount::release(Units amount)
{
    if (amount > m_held) {
        throw Error("cannot release more units than are held");
    }
    m_held -= amount;
}

Units QuotaAccount::used(base::TimePoint now)
{
    Units sum = 0;
    for (SlidingWindow &window : m_used) {
        sum += window.sum(now);
    }
    return sum;
}

Units QuotaAccount::urgentReserve(Units allowance) const
{
    return std::max(static_cast<Units>(m_urgentReserve * static_cast<double>(allowance)), m_urgentReserve > 0 ? m_minimumUrgentReserve : 0);
}

Units QuotaAccount::reservedAgainst(base::PriorityClass priorityClass, Units allowance, base::TimePoint now)
{
    Units reserved = 0;
    if (priorityClass != base::PriorityClass::Urgent) {
        reserved += subtractToZero(urgentReserve(allowance), m_used[index(base::PriorityClass::Urgent)].sum(now));
    }
    if (priorityClass == base::PriorityClass::Bulk) {
        const auto reserve = static_cast<Units>(m_interactiveReserve * static_cast<double>(allowance));
        reserved += subtractToZero(reserve, m_used[index(base::PriorityClass::Interactive)].sum(now));
    }
    return reserved;
}

} // namespace trefoilstile::shift
