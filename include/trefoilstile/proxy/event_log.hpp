// Structured log of the entry process: one JSON object per line on standard output.
//
// Lines are buffered and written without blocking. Lines above the rate limit, and lines that exceed the buffer because the
// reader is slow, are dropped; their count is logged before the next accepted line.
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
    std::size_t maximumPendingBytes = 256U * 1024U; ///< buffered for a slow reader
    double linesPerSecond = 400; ///< sustained rate; four times the requests per second of a busy instance
    double burst = 800; ///< lines that may be written at once above the sustained rate
};

/// Builder of one log line. Text values are escaped; the event and the field names are written as they are.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view name, std::string_view value);
    LogLine &number(std::string_view name, std::int64_t value);
    LogLine &real(std::string_view name, double value);
    LogLine &flag(std::string_view name, bool value);

    /// Writes a duration as a whole number of milliseconds.
    LogLine &milliseconds(std::string_view name, base::Duration value);

    const std::string &body() const
    {
        return m_body;
    }

private:
    void name(std::string_view name);

    std::string m_body; ///< the fields, without the timestamp and the braces
};

class EventLog
{
public:
    explicit EventLog(EventLogOptions options = {})
        : m_options(options)
        , m_tokens(options.burst)
    {
    }

    /// Buffers a line. `important` lines, such as those about start, stop and dependencies, are exempt from the rate limit.
    void write(const LogLine &line, base::TimePoint now, bool important = false);

    /// Writes buffered lines until the descriptor would block.
    void flush();

    /// Lines dropped since the start.
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
