// Use of one resource by class within a sliding window, with reserves for the more urgent classes.
#pragma once

#include <array>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/shift/window_budget.hpp"

namespace trefoilstile::shift
{

/// Counts use and held amounts against an allowance that is passed in at each call, since loans change it over time.
///
/// Use never exceeds the allowance. Interactive work leaves free what is reserved for urgent work and not yet used by it
/// in this window; bulk work also leaves free what is reserved for interactive work.
class QuotaAccount
{
public:
    /// `unit` is the smallest reserve for urgent work, in units.
    QuotaAccount(const ShiftOptions &options, Units unit);

    /// What the class can use now.
    Units available(base::PriorityClass priorityClass, Units allowance, base::TimePoint now);

    /// Counts a use. The caller has checked `available` at the same `now`.
    void use(base::PriorityClass priorityClass, Units amount, base::TimePoint now);

    /// Counts an amount as in use until it is released; for use by another thread or a caller at an unknown moment.
    void hold(Units amount);

    /// Throws `Error` if less is held.
    void release(Units amount);

    Units held() const
    {
        return m_held;
    }

    /// Use of all classes within the window.
    Units used(base::TimePoint now);

    /// Part of the allowance that urgent work is to find free.
    Units urgentReserve(Units allowance) const;

private:
    Units reservedAgainst(base::PriorityClass priorityClass, Units allowance, base::TimePoint now);

    double m_urgentReserve;
    double m_interactiveReserve;
    Units m_unit;
    std::array<SlidingWindow, base::s_priorityClassCount> m_used;
    Units m_held = 0;
};

} // namespace trefoilstile::shift
