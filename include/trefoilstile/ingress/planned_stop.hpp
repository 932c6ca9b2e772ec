// Phases of the graceful shutdown of an entry instance, from the stop signal to the end of the process.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// State of a planned stop. From its beginning the instance is not listed in lookup answers any more. Callers that still use
/// an older answer are served as long as their requests can finish before the deadline.
class PlannedStop
{
public:
    /// Time reserved for the last responses to reach their callers before the process is killed.
    static constexpr base::Duration s_margin = std::chrono::milliseconds(400);

    /// Starts the stop. Has no effect if it has begun already.
    /// @param grace time from the stop signal until the process is killed
    void begin(base::TimePoint now, base::Duration grace)
    {
        if (!m_deadline) {
            m_deadline = now + std::max(grace - s_margin, base::Duration::zero());
        }
    }

    bool begun() const
    {
        return m_deadline.has_value();
    }

    /// True if a request that takes up to `maximumDuration` can finish before the deadline, or if no stop has begun.
    bool accepts(base::Duration maximumDuration, base::TimePoint now) const
    {
        return !m_deadline || now + maximumDuration <= *m_deadline;
    }

    /// True once the deadline has passed. The process then ends even if requests are unfinished.
    bool expired(base::TimePoint now) const
    {
        return m_deadline && now >= *m_deadline;
    }

private:
    std::optional<base::TimePoint> m_deadline;
};

} // namespace trefoilstile::ingress
