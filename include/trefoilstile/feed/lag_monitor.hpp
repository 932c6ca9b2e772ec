// Detects that other instances know a newer position of a table than this one for longer than the usual delay.
//
// A reader can be cut off from the store without noticing: its pending call for changes stays silent. Instances therefore tell each
// other the position of the last change that they know, and one that is behind fetches the changes from an instance that has them.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/feed/position.hpp"

namespace trefoilstile::feed
{

struct LagOptions {
    /// How long an instance may be behind. Readers pause between two calls, so that they get changes at different times.
    base::Duration tolerance = std::chrono::milliseconds(400);
    base::Duration retryPause = std::chrono::milliseconds(300); ///< between two attempts to catch up; above the time of a call
};

/// Options for a bound on the time until a change must be in effect.
inline LagOptions lagOptions(base::Duration bound)
{
    LagOptions options;
    options.tolerance = bound / 8; // the news takes about a fifth of the bound, and a reader's pause up to 35% of it
    options.retryPause = bound / 10;
    return options;
}

class LagMonitor
{
public:
    explicit LagMonitor(LagOptions options = {})
        : m_options(options)
    {
    }

    /// Records that an instance knows the table up to a change.
    /// @param address of that instance
    /// @param known position up to which this instance knows the table
    void heard(Position position, const std::string &address, Position known, base::TimePoint now);

    /// Address of an instance to fetch changes from now; nothing if this instance is not behind for too long.
    std::optional<std::string> due(Position known, base::TimePoint now);

    /// Highest position heard of.
    Position highest() const
    {
        return m_highest;
    }

private:
    LagOptions m_options;
    Position m_highest;
    std::string m_address; ///< of an instance that knows `m_highest`
    std::optional<base::TimePoint> m_behindSince;
    base::TimePoint m_nextAttempt;
};

} // namespace trefoilstile::feed
