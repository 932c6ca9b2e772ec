// Writes each line with a single call, so that lines from different threads are not interleaved.

#include "trefoilstile/daemon/log.hpp"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace trefoilstile::daemon
{

void writeLogLine(std::string_view component, std::string_view sentence)
{
    const auto time = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = time.time_since_epoch().count() % 1000;
    const std::string line =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}: {}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(time)), milliseconds, component, sentence);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace trefoilstile::daemon
