// Limits that hold for all entry instances together, kept by each without asking the others.
//
// Each instance takes its part by the number of members it knows of. The number only counts upwards within its memory, so
// an instance that is cut off or has lost members from sight does not take the part of others that still run.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Greatest number of members seen of late.
class MemberCount
{
public:
    /// @param memory for how long a higher number counts; longer than a restart or a partition that heals
    explicit MemberCount(base::Duration memory = std::chrono::seconds(60))
        : m_memory(memory)
    {
    }

    void observe(std::size_t members, base::TimePoint now);

    /// 0 until something has been observed.
    std::size_t value() const
    {
        return m_value;
    }

private:
    base::Duration m_memory;
    std::size_t m_value{};
    base::TimePoint m_seenAt; ///< when `m_value` was last observed
};

struct RetryShareOptions {
    double ratio = 0.2; ///< retries per request, over all instances
    base::Duration window = std::chrono::seconds(10);
    double slack = 0; ///< retries per window beyond the ratio, over all instances
    /// Part of the limit that is used; the rest covers instances that start or are not known yet.
    double used = 0.85;
};

/// Retries of one instance to one service within a sliding window.
class RetryShare
{
public:
    explicit RetryShare(RetryShareOptions options)
        : m_options(options)
    {
    }

    void requestArrived(base::TimePoint now);

    /// Takes one retry, or refuses.
    bool tryTake(std::size_t members, base::TimePoint now);

private:
    static constexpr std::size_t s_slots = 20; ///< per window; the sum is off by at most one twentieth of a window

    struct Slot {
        std::int64_t number = -1;
        double requests{};
        double retries{};
    };

    Slot &slotAt(base::TimePoint now);

    RetryShareOptions m_options;
    std::array<Slot, s_slots + 1> m_slots{}; ///< the oldest one may lie partly outside the window
};

/// Rate of one instance to one cold upstream. Only instances of the upstream's failure domain have a part: they know each
/// other singly, whatever the size of the fleet.
class WarmUpShare
{
public:
    /// True if this instance may send a request now. Takes it.
    /// @param perSecond what the upstream bears from all instances together
    /// @param members instances of the upstream's failure domain, this one included
    /// @param rank of this instance among them for this upstream, from 0; members beyond the rate get no part
    bool tryTake(double perSecond, std::size_t members, std::size_t rank, base::TimePoint now);

private:
    std::deque<base::TimePoint> m_sent; ///< within the last window, oldest first
};

/// Part of the requests sent to another region than planned for want of room, within a sliding window.
class SpillLimit
{
public:
    explicit SpillLimit(double mostShare)
        : m_mostShare(mostShare)
    {
    }

    void requestPlaced(base::TimePoint now);
    bool tryTake(base::TimePoint now);

    /// Requests have been placed of late.
    bool inUse(base::TimePoint now);

private:
    void roll(base::TimePoint now);

    double m_mostShare;
    base::TimePoint m_since;
    double m_requests{};
    double m_spilled{};
};

} // namespace trefoilstile::ingress
