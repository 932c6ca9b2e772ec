// Processor time and repetition of measurements.
#pragma once

#include <algorithm>
#include <ctime>
#include <limits>

namespace trefoilstile::bench
{

/// Processor time of the calling thread in seconds. It leaves out the time that other processes took.
inline double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Least processor time of several runs: other work on the machine only ever adds to it.
template<typename F>
double bestCpuSeconds(unsigned runs, F work)
{
    double best = std::numeric_limits<double>::max();
    for (unsigned run = 0; run < runs; ++run) {
        const double start = cpuSeconds();
        work();
        best = std::min(best, cpuSeconds() - start);
    }
    return best;
}

/// Makes the compiler compute a value that nothing else uses.
template<typename T>
void keep(const T &value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

} // namespace trefoilstile::bench
