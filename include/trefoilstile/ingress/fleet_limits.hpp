// Limits on retries, warm-up requests and spilled requests that the fleet of entry instances keeps without coordination.
//
// Each instance uses its share of a limit, derived from the number of members that it knows. A decrease of that number takes
// effect only after a hold time, so an instance that is partitioned from others does not use the shares of members that are
// still running.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Maximum number of members observed within a sliding hold time.
class MemberCount
{
public:
    /// @param holdTime how long a higher number stays in effect; must exceed the duration of a restart or of a partition that heals
    explicit MemberCount(base::Duration holdTime = std::chrono::seconds(60))
        : m_holdTime(holdTime)
    {
    }

    void observe(std::size_t members, base::TimePoint now);

    /// 0 before the first observation.
    std::size_t value() const
    {
        return m_value;
    }

private:
    base::Duration m_holdTime;
    std::size_t m_value{};
    base::TimePoint m_observedAt; ///< when `m_value` was last observed
};

struct RetryShareOptions {
    double ratio = 0.2; ///< maximum retries per request, over all instances
    base::Duration window = std::chrono::seconds(10);
    double slack = 0; ///< retries per window in addition to the ratio, over all instances
    /// Share of the limit that is used. The rest is reserved for instances that are starting or not known yet.
    double usableShare = 0.85;
};

/// Share of one instance in the retry limit of one service, over a sliding window.
class RetryShare
{
public:
    explicit RetryShare(RetryShareOptions options)
        : m_options(options)
    {
    }

    void requestArrived(base::TimePoint now);

    /// Takes one retry if the share allows it; returns false otherwise.
    /// @param members members of the fleet, by which `slack` is divided; without a member the slack is 0
    bool tryTake(std::size_t members, base::TimePoint now);

private:
    static constexpr std::size_t s_buckets = 20; ///< per window; the window boundary is accurate to one twentieth of the window

    struct Bucket {
        std::int64_t number = -1;
        double requests{};
        double retries{};
    };

    Bucket &bucketAt(base::TimePoint now);

    RetryShareOptions m_options;
    std::array<Bucket, s_buckets + 1> m_buckets{}; ///< ring; the oldest bucket may lie partly outside the window
};

/// Share of one instance in the request rate of one upstream during its warm-up. Only instances of the upstream's failure domain
/// have a share, because they know each other individually whatever the size of the fleet.
class WarmUpShare
{
public:
    /// Takes one request if this instance may send it now; returns false otherwise.
    /// @param perSecond maximum rate of the upstream, over all instances
    /// @param members instances of the upstream's failure domain, including this one
    /// @param rank rank of this instance among them for this upstream, from 0; if there are more members than `perSecond`, ranks from
    /// `perSecond` on have no share
    bool tryTake(double perSecond, std::size_t members, std::size_t rank, base::TimePoint now);

private:
    std::deque<base::TimePoint> m_sent; ///< times of the requests within the last window, oldest first
};

/// Limits the share of requests that are sent to another region than planned because that region is full. The counts decay
/// exponentially.
class SpillLimit
{
public:
    explicit SpillLimit(double maximumShare)
        : m_maximumShare(maximumShare)
    {
    }

    void requestPlaced(base::TimePoint now);
    bool tryTake(base::TimePoint now);

    /// True if requests have been placed recently.
    bool hasRecentRequests(base::TimePoint now);

private:
    void decay(base::TimePoint now);

    double m_maximumShare;
    base::TimePoint m_decayedAt;
    double m_requests{}; ///< decayed
    double m_spilled{}; ///< decayed
};

} // namespace trefoilstile::ingress
