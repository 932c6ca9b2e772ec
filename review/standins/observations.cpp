// Recording of events.

#include "observations.hpp"

#include <cstdio>

namespace review
{

Observations::Observations(const std::string &recordFile)
    : m_record(recordFile)
{
}

void Observations::write(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", elapsed());
    m_record << time << text << '\n' << std::flush;
}

void Observations::note(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    write(text);
}

void Observations::sent(const std::string &id, const std::string &route, const std::string &entry)
{
    const std::lock_guard lock(m_mutex);
    Attempt &attempt = m_attempts[id];
    attempt.route = route;
    attempt.entry = entry;
    attempt.sentAt = Clock::now();
    write("sent " + id + " on " + route + " to " + entry);
}

void Observations::answered(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    Attempt &attempt = m_attempts[id];
    attempt.answeredAt = Clock::now();
    attempt.status = status;
    write("answered " + id + " with " + std::to_string(status));
}

void Observations::ran(const std::string &id, const std::string &server, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[id].runs.push_back({Clock::now(), server, service});
    write("run " + id + " at " + server + " of " + service);
}

std::map<std::string, Attempt> Observations::attempts() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempts;
}

} // namespace review
