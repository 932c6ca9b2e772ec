// Decides whether an instance should open a new connection to an upstream whose queue is long.
//
// Upstreams accept fewer connections while their queue is long and reset the others, and do not state how many. The load above
// which they do is therefore learned from such resets, for each service. Nothing is restrained before the first reset.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// What resets of new connections have shown about the upstreams of a service.
class ConnectionRestraint
{
public:
    /// Records that an upstream has reset a connection right after it was established.
    /// @param loadPerSlot estimated load of the upstream
    /// @param delay time from the establishment to the reset
    void connectionReset(double loadPerSlot, base::Duration delay, base::TimePoint now);

    /// Records a limit that another instance has learned. One that is not lower than the own or out of range is ignored.
    void learned(double loadLimit, base::TimePoint now);

    /// Load per slot from which an upstream is expected to reset new connections; infinite if nothing indicates it.
    double loadLimit(base::TimePoint now) const;

    /// True if resets have shown that upstreams of the service accept fewer connections while their queue is long.
    bool known(base::TimePoint now) const
    {
        return loadLimit(now) != std::numeric_limits<double>::infinity();
    }

    /// Part of `connectionLimit` that an instance may use at an upstream with this load. All of it without a queue or before the
    /// first reset, then inversely proportional to the number of waiting requests.
    std::size_t allowed(std::size_t connectionLimit, double load, double slots, base::TimePoint now) const;

    /// Time after the establishment of a connection in which a reset is to be expected.
    base::Duration resetDelay() const
    {
        return m_resetDelay;
    }

private:
    double m_loadLimit = std::numeric_limits<double>::infinity(); ///< at `m_resetAt`
    base::TimePoint m_resetAt;
    base::Duration m_resetDelay{};
};

/// Load limit that an instance has learned for a service and shares with others.
struct ConnectionLoadLimit {
    std::uint64_t service{}; ///< hash of its name
    double loadPerSlot{};
};

/// Time without new connections of this instance to one upstream after a reset.
struct ConnectionBackOff {
    base::TimePoint until;
    base::Duration pause{}; ///< last pause; 0 after a response on a new connection

    void connectionReset(base::TimePoint now);
};

} // namespace trefoilstile::ingress
