// Combines the sources that report an upstream as leaving and decides when it may be used again.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::upstream
{

/// Leaving state of one upstream. Each source is cleared by its own rule:
/// - drain list: only by a list with a higher generation that does not name the upstream;
/// - platform list: only by a new incarnation that it has not named, because the list lags and a missing entry proves nothing;
/// - the upstream itself (rejection, response header, load endpoint): by a later load report of another state, or by a new
///   incarnation that is not itself reported as leaving.
class LeavingState
{
public:
    /// Applies a drain list. `drained` tells whether it names the upstream. A list that is not newer than the last is ignored.
    void drainListed(base::Generation generation, bool drained);

    /// The platform's instance list marks this incarnation as leaving.
    void platformListed(base::IncarnationId incarnation);

    /// A response of the upstream stated that it is leaving. `incarnation` is the one known when the attempt started.
    void leavingResponseReceived(std::optional<base::IncarnationId> incarnation);

    /// Applies a load report. Returns false if its incarnation has already been replaced; the report is then ignored.
    bool loadReported(base::IncarnationId incarnation, engine::UpstreamState state);

    bool leaving() const
    {
        return m_drained || m_platformLeaving || m_selfReportedLeaving;
    }

    /// Incarnation of the newest load report.
    std::optional<base::IncarnationId> incarnation() const
    {
        return m_incarnation;
    }

private:
    // Reports of replaced incarnations arrive seconds late, so remembering a few incarnations suffices.
    static constexpr std::size_t s_rememberedIncarnations = 8;

    struct RecentIncarnations {
        std::array<std::optional<base::IncarnationId>, s_rememberedIncarnations> items;
        std::size_t nextIndex{};

        void add(base::IncarnationId incarnation);
        bool contains(base::IncarnationId incarnation) const;
    };

    std::optional<base::IncarnationId> m_incarnation;
    RecentIncarnations m_replaced; // never contains m_incarnation
    RecentIncarnations m_platformListed;
    base::Generation m_drainGeneration; // never decreases
    bool m_drained = false;
    bool m_platformLeaving = false; // refers to m_incarnation, or to an unknown incarnation
    bool m_selfReportedLeaving = false;
};

} // namespace trefoilstile::upstream
