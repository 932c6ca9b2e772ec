// Sliding window sum and the budget based on it.

#include "trefoilstile/shift/window_budget.hpp"

#include <algorithm>

namespace trefoilstile::shift
{

namespace
{
/// Slots in a window. A use is counted for at most one slot, 0.8% of a window, too long.
constexpr int s_slotsPerWindow = 128;
} // namespace

SlidingWindow::SlidingWindow(base::Duration window)
    : m_window(window)
    , m_slotWidth(window / s_slotsPerWindow)
{
}

void SlidingWindow::record(Units amount, base::TimePoint now)
{
    dropExpired(now);
    m_sum += amount;
    if (!m_slots.empty() && now - m_slots.back().first < m_slotWidth) {
        m_slots.back().last = std::max(m_slots.back().last, now);
        m_slots.back().amount += amount;
        return;
    }
    m_slots.push_back({now, now, amount});
}

Units SlidingWindow::sum(base::TimePoint now)
{
    dropExpired(now);
    return m_sum;
}

void SlidingWindow::dropExpired(base::TimePoint now)
{
    while (!m_slots.empty() && now - m_slots.front().last >= m_window) {
        m_sum -= m_slots.front().amount;
        m_slots.pop_front();
    }
}

WindowBudget::WindowBudget(Units quota, base::Duration window)
    : m_quota(quota)
    , m_used(window)
{
}

void WindowBudget::setQuota(Units quota)
{
    m_quota = quota;
}

bool WindowBudget::tryTake(Units amount, base::TimePoint now)
{
    if (amount > available(now)) {
        return false;
    }
    m_used.record(amount, now);
    return true;
}

Units WindowBudget::takeUpTo(Units amount, base::TimePoint now)
{
    const Units taken = std::min(amount, available(now));
    if (taken != 0) {
        m_used.record(taken, now);
    }
    return taken;
}

Units WindowBudget::available(base::TimePoint now)
{
    const Units used = m_used.sum(now);
    return m_quota > used ? m_quota - used : 0;
}

} // namespace trefoilstile::shift
