// What an entry instance does between the signal to stop and its end.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Phases of a planned stop. The instance is no longer named to callers from the start of it; callers that have an older
/// answer are still served while a request can end in time.
class PlannedStop
{
public:
    /// Left for the last responses to reach their callers before the process is killed.
    static constexpr base::Duration s_margin = std::chrono::milliseconds(400);

    /// @param grace time between the signal and the kill
    void begin(base::TimePoint now, base::Duration grace)
    {
        if (!m_end) {
            m_end = now + std::max(grace - s_margin, base::Duration::zero());
        }
    }

    bool begun() const
    {
        return m_end.has_value();
    }

    /// True if a request that may take as long as `most` can end in time.
    bool accepts(base::Duration most, base::TimePoint now) const
    {
        return !m_end || now + most <= *m_end;
    }

    /// The process ends now, whatever is left.
    bool expired(base::TimePoint now) const
    {
        return m_end && now >= *m_end;
    }

private:
    std::optional<base::TimePoint> m_end;
};

} // namespace trefoilstile::ingress
