// Whether one upstream is leaving, from all sources that say so and the facts that bring it back.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::upstream
{

/// Leaving facts of one upstream. Each fact is lifted by its own rule:
/// - drain list: only by a list with a higher generation that does not name the upstream;
/// - platform list: only by a new incarnation, since that list lags and its silence proves nothing;
/// - own rejection, header, load endpoint: by a live load report received later, or by a new incarnation.
class LeavingState
{
public:
    /// Takes a drain list; lists that are not newer than the present one are ignored.
    void drainListed(base::Generation generation, bool drained);

    void platformListed(base::IncarnationId incarnation);

    /// A response of the upstream said that it is leaving. `incarnation` is the one known when the attempt started.
    void responded(std::optional<base::IncarnationId> incarnation);

    /// Takes a load report. False if the report is about an incarnation that was replaced before.
    bool reported(base::IncarnationId incarnation, engine::UpstreamState state);

    bool leaving() const
    {
        return m_drained || m_platformLeaving || m_ownLeaving;
    }

    /// Incarnation of the newest load report.
    std::optional<base::IncarnationId> incarnation() const
    {
        return m_incarnation;
    }

private:
    // Late reports of replaced incarnations lag by seconds, so a few are enough.
    static constexpr std::size_t s_rememberedIncarnations = 8;

    struct Ring {
        std::array<std::optional<base::IncarnationId>, s_rememberedIncarnations> items;
        std::size_t nextIndex{};

        void add(base::IncarnationId incarnation);
        bool contains(base::IncarnationId incarnation) const;
    };

    std::optional<base::IncarnationId> m_incarnation;
    Ring m_replaced; // never contains m_incarnation
    Ring m_platformListed;
    base::Generation m_drainGeneration; // never decreases
    bool m_drained = false;
    bool m_platformLeaving = false; // about m_incarnation, or about an unknown one
    bool m_ownLeaving = false;
};

} // namespace trefoilstile::upstream
