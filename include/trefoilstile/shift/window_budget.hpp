// Sum of the use within a sliding window, in bounded memory and never too low, and a budget based on it.
#pragma once

#include <cstddef>
#include <deque>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/shift/options.hpp"

namespace trefoilstile::shift
{

/// Sum of the amounts recorded within the last window; a use at time u counts during [u, u + window).
///
/// Memory is bounded by merging uses that fall within 1/128 of a window into one slot, which counts completely until its
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

    void dropExpired(base::TimePoint now);

    base::Duration m_window;
    base::Duration m_slotWidth;
    std::deque<Slot> m_slots; ///< oldest first
    Units m_sum = 0; ///< of all slots
};

/// Quota for a sliding window: at every instant the use within any window is at most the quota that was in effect at
/// the last use. A lower quota applies to the next use.
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

    /// Uses as much of the amount as is available. Returns the amount used.
    Units takeUpTo(Units amount, base::TimePoint now);

    /// Amount that can be used now.
    Units available(base::TimePoint now);

private:
    Units m_quota;
    SlidingWindow m_used;
};

} // namespace trefoilstile::shift
