// Validation of the shift options, and the spans derived from them.

#include "trefoilstile/shift/options.hpp"

#include <cmath>

#include "trefoilstile/shift/error.hpp"

namespace trefoilstile::shift
{

void ShiftOptions::validate() const
{
    const bool sharesValid = urgentReserve >= 0 && interactiveReserve >= 0 && urgentReserve + interactiveReserve <= 1;
    if (window <= base::Duration::zero() || clockDrift < 0 || clockDrift > leaseMargin || leaseMargin >= 1 || !sharesValid) {
        throw Error("shift options: window, clock drift, lease margin or reserves out of range");
    }
    if (maximumLease > maximumCommitment()) {
        throw Error("shift options: the start hold must cover the maximum lease and one window");
    }
}

base::Duration ShiftOptions::localWindow() const
{
    return scaled(window, 1 + clockDrift);
}

base::Duration ShiftOptions::maximumCommitment() const
{
    // Two factors: one for the clock that measures the commitment, one for the clock that measures the start hold.
    return scaled(startHold, 1 / ((1 + clockDrift) * (1 + clockDrift))) - scaled(window, 1 + clockDrift);
}

base::Duration scaled(base::Duration span, double factor)
{
    return base::Duration(static_cast<base::Duration::rep>(std::ceil(static_cast<double>(span.count()) * factor)));
}

} // namespace trefoilstile::shift
