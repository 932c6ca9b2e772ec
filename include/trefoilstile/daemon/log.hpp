// Log lines on standard error: time, prefix of the component, one sentence.
#pragma once

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace trefoilstile::daemon
{

/// Writes one line. Thread-safe; lines from different threads are not interleaved.
void writeLogLine(std::string_view component, std::string_view sentence);

/// Formats and writes one line.
/// @param component prefix such as `peers`
template<typename... Arguments>
void log(std::string_view component, fmt::format_string<Arguments...> format, Arguments &&...arguments)
{
    writeLogLine(component, fmt::format(format, std::forward<Arguments>(arguments)...));
}

} // namespace trefoilstile::daemon
