// Leaving facts of one upstream.

#include "trefoilstile/upstream/leaving_state.hpp"

#include <algorithm>

namespace trefoilstile::upstream
{

void LeavingState::Ring::add(base::IncarnationId incarnation)
{
    if (!contains(incarnation)) {
        items.at(nextIndex) = incarnation;
        nextIndex = (nextIndex + 1) % items.size();
    }
}

bool LeavingState::Ring::contains(base::IncarnationId incarnation) const
{
    return std::find(items.begin(), items.end(), std::optional(incarnation)) != items.end();
}

void LeavingState::drainListed(base::Generation generation, bool drained)
{
    if (generation.value > m_drainGeneration.value) {
        m_drainGeneration = generation;
        m_drained = drained;
    }
}

void LeavingState::platformListed(base::IncarnationId incarnation)
{
    m_platformListed.add(incarnation);
    // A list that names another incarnation lags behind or is ahead of the load endpoint; it is remembered for then.
    // Without a report to tell, the cautious reading is that it means the running one.
    if (!m_incarnation || *m_incarnation == incarnation) {
        m_platformLeaving = true;
    }
}

void LeavingState::responded(std::optional<base::IncarnationId> incarnation)
{
    if (!incarnation || !m_incarnation || *incarnation == *m_incarnation) {
        m_ownLeaving = true;
    }
}

bool LeavingState::reported(base::IncarnationId incarnation, engine::UpstreamState state)
{
    if (m_replaced.contains(incarnation)) {
        return false;
    }
    if (m_incarnation != incarnation) {
        if (m_incarnation) {
            m_replaced.add(*m_incarnation);
        }
        m_incarnation = incarnation;
        m_platformLeaving = m_platformListed.contains(incarnation);
    }
    // A report about the same incarnation is received later than the fact it lifts; a new incarnation lifts it as well.
    m_ownLeaving = state == engine::UpstreamState::Leaving;
    return true;
}

} // namespace trefoilstile::upstream
