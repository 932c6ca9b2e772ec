// Learns from resets of new connections at which load upstreams reset them.

#include "trefoilstile/ingress/connection_restraint.hpp"

#include <algorithm>
#include <chrono>

namespace trefoilstile::ingress
{

namespace
{

/// The limit is set this far below the load at which a connection was reset, because the load is known with an error of about
/// one request per slot and other instances connect at the same time.
constexpr double s_reduction = 0.8;

/// Without a queue, a reset has another cause.
constexpr double s_minimumLoadLimit = 1.0;

/// Increase of the limit per second. After half a minute without a reset, it is as high as before a reduction at twice the slots.
constexpr double s_recovery = 0.013;

/// Placement allows at most 2.6 requests per slot, so a limit above it restrains nothing.
constexpr double s_highestLoadLimit = 3.0;

/// A new connection is not delayed longer than this to see whether it is reset; the longest path takes 24 ms there and back.
constexpr base::Duration s_maximumResetDelay = std::chrono::milliseconds(30);

constexpr base::Duration s_firstPause = std::chrono::milliseconds(300); ///< queues do not drain faster
constexpr base::Duration s_longestPause = std::chrono::seconds(3); ///< as long as a reported load is used

} // namespace

void ConnectionRestraint::connectionReset(double loadPerSlot, base::Duration delay, base::TimePoint now)
{
    if (loadPerSlot <= s_minimumLoadLimit) {
        return;
    }
    m_loadLimit = std::max(s_minimumLoadLimit, std::min(loadLimit(now), s_reduction * loadPerSlot));
    m_resetAt = now;
    m_resetDelay = std::clamp(delay, m_resetDelay, s_maximumResetDelay);
}

void ConnectionRestraint::learned(double limit, base::TimePoint now)
{
    if (limit >= s_minimumLoadLimit && limit < loadLimit(now) && limit <= s_highestLoadLimit) {
        m_loadLimit = limit;
        m_resetAt = now;
    }
}

double ConnectionRestraint::loadLimit(base::TimePoint now) const
{
    const double limit = m_loadLimit + s_recovery * base::toSeconds(now - m_resetAt);
    return limit > s_highestLoadLimit ? std::numeric_limits<double>::infinity() : limit;
}

std::size_t ConnectionRestraint::allowed(std::size_t connectionLimit, double load, double slots, base::TimePoint now) const
{
    if (load <= slots || loadLimit(now) == std::numeric_limits<double>::infinity()) {
        return connectionLimit;
    }
    constexpr std::size_t minimum = 1; // the request in service; its connection is reused
    return std::max(minimum, static_cast<std::size_t>(static_cast<double>(connectionLimit) / (1 + load - slots)));
}

void ConnectionBackOff::connectionReset(base::TimePoint now)
{
    pause = std::min(std::max(2 * pause, s_firstPause), s_longestPause);
    until = now + pause;
}

} // namespace trefoilstile::ingress
