// Parts of joint limits.

#include "trefoilstile/ingress/fleet_limits.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::ingress
{

namespace
{

/// Requests that arrive within a second may have been sent over a little more than that.
constexpr base::Duration s_warmUpWindow = std::chrono::milliseconds(1'200);

/// Time constant of the counts of spilled requests; the span over which operators measure shifts.
constexpr base::Duration s_spillMemory = std::chrono::seconds(2);

} // namespace

void MemberCount::observe(std::size_t members, base::TimePoint now)
{
    if (members >= m_value || now > m_seenAt + m_memory) {
        m_value = members;
        m_seenAt = now;
    }
}

RetryShare::Slot &RetryShare::slotAt(base::TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / (m_options.window / s_slots);
    Slot &slot = m_slots[static_cast<std::size_t>(number) % m_slots.size()];
    if (slot.number != number) {
        slot = {number, 0, 0};
    }
    return slot;
}

void RetryShare::requestArrived(base::TimePoint now)
{
    slotAt(now).requests += 1;
}

bool RetryShare::tryTake(std::size_t members, base::TimePoint now)
{
    Slot &current = slotAt(now);
    double requests = 0;
    double retries = 0;
    for (const Slot &slot : m_slots) {
        if (slot.number >= 0 && slot.number >= current.number - static_cast<std::int64_t>(s_slots)) {
            retries += slot.retries;
            // The oldest slot may lie outside the window: its retries count, its requests do not.
            requests += slot.number > current.number - static_cast<std::int64_t>(s_slots) ? slot.requests : 0;
        }
    }
    const double slack = members > 0 ? m_options.slack / static_cast<double>(members) : 0;
    if (retries + 1 > m_options.used * (m_options.ratio * requests + slack)) {
        return false;
    }
    current.retries += 1;
    return true;
}

bool WarmUpShare::tryTake(double perSecond, std::size_t members, std::size_t rank, base::TimePoint now)
{
    while (!m_sent.empty() && m_sent.front() + s_warmUpWindow <= now) {
        m_sent.pop_front();
    }
    const auto total = static_cast<std::size_t>(std::max(1.0, std::floor(perSecond)));
    if (members == 0) {
        return false; // without knowing any member the part is not known
    }
    const std::size_t part = total / members + (rank < total % members ? 1U : 0U);
    if (m_sent.size() >= part) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

void SpillLimit::requestPlaced(base::TimePoint now)
{
    roll(now);
    m_requests += 1;
}

bool SpillLimit::tryTake(base::TimePoint now)
{
    roll(now);
    if (m_spilled + 1 > m_mostShare * m_requests) {
        return false;
    }
    m_spilled += 1;
    return true;
}

bool SpillLimit::inUse(base::TimePoint now)
{
    roll(now);
    constexpr double least = 0.5; // decayed number of requests
    return m_requests > least;
}

void SpillLimit::roll(base::TimePoint now)
{
    const double factor = std::exp(-base::toSeconds(now - m_since) / base::toSeconds(s_spillMemory));
    m_requests *= factor;
    m_spilled *= factor;
    m_since = now;
}

} // namespace trefoilstile::ingress
