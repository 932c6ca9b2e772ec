// Decides when a second attempt of an idempotent request starts beside a first one that takes too long.
//
// A second attempt helps if the machine of the first is slow or silent. It is wasted if the request takes long on every upstream:
// 3 of 100 requests take 7 times the mean. Reported speeds tell the two apart; without them the time alone decides.
#pragma once

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// What an instance knows about a first attempt that has not ended.
struct FirstAttempt {
    base::Duration latencyObjective{};
    base::Duration service{}; ///< expected time in a slot at the usual speed of the machine
    base::Duration wait{}; ///< expected wait for a slot when the attempt started
    bool speedReported = false; ///< the upstream reports the speed of its machine
    bool heardSince = false; ///< the upstream has responded to some request since the attempt started
    double speedFactor = 1; ///< expected now, as `UpstreamTable::speedFactor`
};

/// True if the machine of the first attempt is so slow that another upstream would probably be done sooner.
bool slowMachine(const FirstAttempt &first);

/// Time after the start of the first attempt at which a second one may start, by what is known now.
base::Duration secondAttemptDelay(const FirstAttempt &first);

} // namespace trefoilstile::ingress
