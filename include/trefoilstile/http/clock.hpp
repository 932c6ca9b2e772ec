// Clock of the daemon's I/O threads. Decision code is given time; only embedders read it.
#pragma once

#include <ctime>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::http
{

/// Present time. CLOCK_BOOTTIME is monotonic and counts the time during which the machine was suspended.
inline base::TimePoint now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return base::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace trefoilstile::http
