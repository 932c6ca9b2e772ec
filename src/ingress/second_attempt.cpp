// Time of a second attempt, by the objective, the expected time of the first and the speed of its machine.

#include "trefoilstile/ingress/second_attempt.hpp"

#include <algorithm>

namespace trefoilstile::ingress
{

namespace
{

/// Multiple of the expected time after which a first attempt is too late if its machine does not report its speed or is silent.
/// The factor is above the four times that cold work takes.
constexpr int s_lateFactor = 6;

/// The same for a machine that is known to be slow. Cold work takes 3.3 times as long as warm work at the usual speed.
constexpr int s_lateFactorIfSlow = 3;

/// The same for a machine that responds to other requests at its usual speed: above the seven times that long requests take.
constexpr int s_lateFactorIfUsual = 9;

/// Factor from which a machine is slow; between the usual speed and the 2.5 times of slow phases.
constexpr double s_slowFactor = 1.6;

} // namespace

bool slowMachine(const FirstAttempt &first)
{
    return first.speedReported && first.speedFactor >= s_slowFactor;
}

base::Duration secondAttemptDelay(const FirstAttempt &first)
{
    const base::Duration expected = first.service + first.wait;
    const base::Duration late = std::max<base::Duration>(first.latencyObjective, s_lateFactor * expected);
    if (slowMachine(first)) {
        return std::min(late, std::max<base::Duration>(first.latencyObjective / 2, s_lateFactorIfSlow * expected));
    }
    if (first.speedReported && first.heardSince) {
        return std::max(late, s_lateFactorIfUsual * expected);
    }
    return late;
}

} // namespace trefoilstile::ingress
