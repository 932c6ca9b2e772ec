// Accounting of one resource by priority class within a sliding window, with reserves for the more urgent classes.
#pragma once

#include <array>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/shift/window_budget.hpp"

namespace trefoilstile::shift
{

/// Counts used and held amounts against an allowance that is passed to each call, since loans change it over time.
///
/// Use never exceeds the allowance. Interactive work leaves the part of the urgent reserve free that urgent work has not
/// used in the current window; bulk work also leaves the unused part of the interactive reserve free.
class QuotaAccount
{
public:
    /// `minimumUrgentReserve` is the smallest reserve for urgent work, in units; it applies unless the option
    /// `urgentReserve` is 0.
    QuotaAccount(const ShiftOptions &options, Units minimumUrgentReserve);

    /// Amount that the class may use now.
    Units available(base::PriorityClass priorityClass, Units allowance, base::TimePoint now);

    /// Records a use. The caller must have checked `available` with the same `now`.
    void use(base::PriorityClass priorityClass, Units amount, base::TimePoint now);

    /// Counts an amount as used until it is released, for use by another thread or a caller at an unknown time.
    void hold(Units amount);

    /// Releases a held amount. Throws `Error` if less is held.
    void release(Units amount);

    Units held() const
    {
        return m_held;
    }

    /// Use of all classes within the window.
    Units used(base::TimePoint now);

    /// Amount of the allowance that is reserved for urgent work.
    Units urgentReserve(Units allowance) const;

private:
    Units reservedAgainst(base::PriorityClass priorityClass, Units allowance, base::TimePoint now);

    double m_urgentReserve;
    double m_interactiveReserve;
    Units m_minimumUrgentReserve;
    std::array<SlidingWindow, base::s_priorityClassCount> m_used;
    Units m_held = 0;
};

} // namespace trefoilstile::shift
