// Use within a sliding window, exact at every instant and in bounded memory.
#pragma once

#include <cstddef>
#include <deque>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/shift/options.hpp"

namespace trefoilstile::shift
{

/// Sum of what was recorded within the last window; a use at time u counts during [u, u + window).
///
/// Memory is bounded by joining uses that fall within 1/128 of a window into one slot, which counts as a whole until its
/// last use has left the window. The sum is therefore never too low; it is too high by at most the use of one slot, for
/// at most 1/128 of a window. Slots start at least one slot width apart, so at most 130 exist.
class SlidingWindow
{
public:
    explicit SlidingWindow(base::Duration window);

    void record(Units amount, base::TimePoint now);

    Units sum(base::TimePoint now);

    std::size_t slots() const
    {
        return m_slots.size();
    }

private:
    struct Slot {
        base::TimePoint first;
        base::TimePoint last;
        Units amount{};
    };

    void dropOld(base::TimePoint now);

    base::Duration m_window;
    base::Duration m_slotWidth;
    std::deque<Slot> m_slots; ///< oldest first
    Units m_sum = 0; ///< of all slots
};

/// Quota for a sliding window: at every instant the use within any window is at most the quota that was in effect at
/// the last use. Lowering the quota takes effect at once for new use.
class WindowBudget
{
public:
    WindowBudget(Units quota, base::Duration window);

    void setQuota(Units quota);

    Units quota() const
    {
        return m_quota;
    }

    /// Uses the whole amount, or nothing.
    bool tryTake(Units amount, base::TimePoint now);

    /// Uses as much of the amount as there is room for, and tells how much that was.
    Units takeUpTo(Units amount, base::TimePoint now);

    /// What can be used now.
    Units available(base::TimePoint now);

private:
    Units m_quota;
    SlidingWindow m_used;
};

} // namespace trefoilstile::shift
