// Formatting, rate limit and non-blocking output of log lines.

#include "trefoilstile/proxy/event_log.hpp"

#include <algorithm>
#include <cerrno>

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

namespace trefoilstile::proxy
{

namespace
{

void appendEscaped(std::string &body, std::string_view value)
{
    constexpr std::size_t longest = 200; // bytes; only misuse produces longer values, which are truncated
    for (const char character : value.substr(0, longest)) {
        if (character == '"' || character == '\\') {
            body += '\\';
            body += character;
        } else if (static_cast<unsigned char>(character) < 0x20 || static_cast<unsigned char>(character) > 0x7e) {
            body += fmt::format("\\u{:04x}", static_cast<unsigned char>(character));
        } else {
            body += character;
        }
    }
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    m_body = "\"event\":\"";
    m_body.append(event);
    m_body += '"';
}

void LogLine::name(std::string_view name)
{
    m_body += ",\"";
    m_body.append(name);
    m_body += "\":";
}

LogLine &LogLine::text(std::string_view name, std::string_view value)
{
    this->name(name);
    m_body += '"';
    appendEscaped(m_body, value);
    m_body += '"';
    return *this;
}

LogLine &LogLine::number(std::string_view name, std::int64_t value)
{
    this->name(name);
    fmt::format_to(std::back_inserter(m_body), "{}", value);
    return *this;
}

LogLine &LogLine::real(std::string_view name, double value)
{
    this->name(name);
    fmt::format_to(std::back_inserter(m_body), "{:.3f}", value);
    return *this;
}

LogLine &LogLine::flag(std::string_view name, bool value)
{
    this->name(name);
    m_body += value ? "true" : "false";
    return *this;
}

LogLine &LogLine::milliseconds(std::string_view name, base::Duration value)
{
    return number(name, base::toMilliseconds(value));
}

void EventLog::write(const LogLine &line, base::TimePoint now, bool important)
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.linesPerSecond * base::toSeconds(now - m_refilledAt));
    m_refilledAt = now;
    if ((!important && m_tokens < 1) || m_pending.size() + line.body().size() > m_options.maximumPendingBytes) {
        ++m_dropped;
        return;
    }
    m_tokens -= important ? 0 : 1;
    if (m_dropped > m_droppedReported) {
        LogLine gap("log_lines_dropped");
        gap.number("count", static_cast<std::int64_t>(m_dropped - m_droppedReported));
        m_droppedReported = m_dropped;
        append(gap.body());
    }
    append(line.body());
}

void EventLog::append(const std::string &body)
{
    const auto time = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    fmt::format_to(std::back_inserter(m_pending),
        "{{\"ts\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",{}}}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
        time.time_since_epoch().count() % 1000,
        body);
}

void EventLog::flush()
{
    while (!m_pending.empty()) {
        // Polls instead of setting O_NONBLOCK, because that flag would also affect other processes that share the descriptor.
        pollfd state{m_options.descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is ready for writing accepts this many bytes without blocking.
        constexpr std::size_t pipeWriteSize = 4096;
        const ssize_t count = ::write(m_options.descriptor, m_pending.data(), std::min(m_pending.size(), pipeWriteSize));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            m_pending.clear(); // the output is closed, so the failure cannot be logged either
            return;
        }
        m_pending.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace trefoilstile::proxy
