// Log lines on standard error: time, fixed prefix of the part, one short sentence.
#pragma once

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace trefoilstile::daemon
{

/// Writes one line. May be called by any thread; lines do not mix.
void writeLogLine(std::string_view part, std::string_view sentence);

/// Formats and writes one line.
/// @param part prefix such as `caller`
template<typename... Arguments>
void log(std::string_view part, fmt::format_string<Arguments...> format, Arguments &&...arguments)
{
    writeLogLine(part, fmt::format(format, std::forward<Arguments>(arguments)...));
}

} // namespace trefoilstile::daemon
