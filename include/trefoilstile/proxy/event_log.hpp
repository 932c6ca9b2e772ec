// Structured log of the entry process: one JSON object a line on standard output.
//
// Lines are collected and written without blocking. Above a rate, and while the reader of the output is slow, lines are
// dropped and counted; the count is logged when there is room again.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::proxy
{

struct EventLogOptions {
    int descriptor = 1; ///< standard output
    std::size_t mostPending = 256U * 1024U; ///< bytes held for a slow reader
    double linesPerSecond = 400; ///< four times the requests of a busy instance of today
    double burst = 800; ///< lines at once
};

/// One line under construction. Names and texts are escaped where they come from outside.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view name, std::string_view value);
    LogLine &number(std::string_view name, std::int64_t value);
    LogLine &real(std::string_view name, double value);
    LogLine &flag(std::string_view name, bool value);

    /// Milliseconds of a span.
    LogLine &milliseconds(std::string_view name, base::Duration value);

    const std::string &body() const
    {
        return m_body;
    }

private:
    void name(std::string_view name);

    std::string m_body; ///< without the time and the closing brace
};

class EventLog
{
public:
    explicit EventLog(EventLogOptions options = {})
        : m_options(options)
        , m_tokens(options.burst)
    {
    }

    /// Takes a line. `important` lines, such as those about start, stop and dependencies, are not subject to the rate.
    void write(const LogLine &line, base::TimePoint now, bool important = false);

    /// Writes out what is pending, as far as the reader takes it.
    void flush();

    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void append(const std::string &body);

    EventLogOptions m_options;
    double m_tokens;
    base::TimePoint m_refilledAt;
    std::string m_pending;
    std::uint64_t m_dropped{};
    std::uint64_t m_droppedReported{};
};

} // namespace trefoilstile::proxy
