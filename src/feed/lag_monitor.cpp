// Comparison of the known position with the highest one heard of.

#include "trefoilstile/feed/lag_monitor.hpp"

namespace trefoilstile::feed
{

void LagMonitor::heard(Position position, const std::string &address, Position known, base::TimePoint now)
{
    if (position <= m_highest) {
        return;
    }
    m_highest = position;
    m_address = address;
    if (m_highest > known && !m_behindSince) {
        m_behindSince = now;
    }
}

std::optional<std::string> LagMonitor::due(Position known, base::TimePoint now)
{
    if (m_highest <= known) {
        m_behindSince.reset();
        return std::nullopt;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    if (now < *m_behindSince + m_options.tolerance || now < m_nextAttempt) {
        return std::nullopt;
    }
    m_nextAttempt = now + m_options.retryPause;
    return m_address;
}

} // namespace trefoilstile::feed
