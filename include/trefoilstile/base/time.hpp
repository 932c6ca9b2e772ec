// Time for decision code, which gets it from the embedder and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace trefoilstile::base
{

/// Span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Tag for time points of the embedding process. The origin is arbitrary; the clock behind it is monotonic and counts
/// the time during which the process or machine was suspended, so that leases expire while their holder is paused.
struct ProcessClock {
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    static constexpr bool is_steady = true;
};

/// Point on the process clock.
using TimePoint = std::chrono::time_point<ProcessClock, Duration>;

/// Converts a span to seconds.
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts seconds to a span.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Converts a span to whole milliseconds, rounded down.
constexpr std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace trefoilstile::base
