// Rules that set and clear the leaving state of one upstream.

#include "trefoilstile/upstream/leaving_state.hpp"

#include <algorithm>

namespace trefoilstile::upstream
{

void LeavingState::RecentIncarnations::add(base::IncarnationId incarnation)
{
    if (!contains(incarnation)) {
        items.at(nextIndex) = incarnation;
        nextIndex = (nextIndex + 1) % items.size();
    }
}

bool LeavingState::RecentIncarnations::contains(base::IncarnationId incarnation) const
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
    // A list that names another incarnation is behind or ahead of the load endpoint; the incarnation is remembered and
    // applied when a load report names it. Without a load report, the entry is assumed to mean the running incarnation.
    if (!m_incarnation || *m_incarnation == incarnation) {
        m_platformLeaving = true;
    }
}

void LeavingState::leavingResponseReceived(std::optional<base::IncarnationId> incarnation)
{
    if (!incarnation || !m_incarnation || *incarnation == *m_incarnation) {
        m_selfReportedLeaving = true;
    }
}

bool LeavingState::loadReported(base::IncarnationId incarnation, engine::UpstreamState state)
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
    // A report about the same incarnation arrives after the statement that it clears; a new incarnation clears it as well.
    m_selfReportedLeaving = state == engine::UpstreamState::Leaving;
    return true;
}

} // namespace trefoilstile::upstream
