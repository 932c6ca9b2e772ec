// Seed list and backoff of contacts.

#include "trefoilstile/membership/contacts.hpp"

#include <algorithm>

namespace trefoilstile::membership
{

namespace
{

/// Bounds the addresses learned from the platform's list.
constexpr std::size_t s_maximumSeeds = 256;

} // namespace

void ContactSchedule::addSeed(const std::string &address)
{
    if (m_seeds.size() < s_maximumSeeds) {
        m_seeds.insert(address);
    }
}

base::Duration ContactSchedule::nextDelay(bool alone, base::SplitMix64 &random)
{
    if (!alone) {
        return base::jittered(m_options.healPeriod, m_options.contactJitter, random);
    }
    const base::Duration wait = base::jittered(m_backoff, m_options.contactJitter, random);
    m_backoff = std::min(m_backoff * 2, m_options.joinBackoffLast);
    return wait;
}

std::size_t ContactSchedule::due(bool alone, base::TimePoint now, base::SplitMix64 &random)
{
    if (alone != m_wasAlone) {
        m_wasAlone = alone;
        m_backoff = m_options.joinBackoffFirst;
        m_next = now + nextDelay(alone, random);
        return 0;
    }
    if (m_next && now < *m_next) {
        return 0;
    }
    m_next = now + nextDelay(alone, random);
    return alone ? m_options.joinFanout : 1;
}

void ContactSchedule::expedite(base::TimePoint now, base::SplitMix64 &random)
{
    const base::TimePoint soon = now + base::jittered(m_options.joinBackoffFirst, m_options.contactJitter, random);
    m_next = m_next ? std::min(*m_next, soon) : soon;
}

} // namespace trefoilstile::membership
