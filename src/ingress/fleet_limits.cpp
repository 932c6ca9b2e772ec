// Shares of one instance in the limits of the fleet.

#include "trefoilstile/ingress/fleet_limits.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::ingress
{

namespace
{

/// Requests that arrive at the upstream within one second may have been sent over a slightly longer time.
constexpr base::Duration s_warmUpWindow = std::chrono::milliseconds(1'200);

/// Time constant of the request counts of `SpillLimit`. Operators measure shifts over the same time.
constexpr base::Duration s_spillTimeConstant = std::chrono::seconds(2);

} // namespace

void MemberCount::observe(std::size_t members, base::TimePoint now)
{
    if (members >= m_value || now > m_observedAt + m_holdTime) {
        m_value = members;
        m_observedAt = now;
    }
}

RetryShare::Bucket &RetryShare::bucketAt(base::TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / (m_options.window / s_buckets);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

void RetryShare::requestArrived(base::TimePoint now)
{
    bucketAt(now).requests += 1;
}

bool RetryShare::tryTake(std::size_t members, base::TimePoint now)
{
    Bucket &current = bucketAt(now);
    double requests = 0;
    double retries = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.number >= 0 && bucket.number >= current.number - static_cast<std::int64_t>(s_buckets)) {
            retries += bucket.retries;
            // The oldest bucket may lie partly outside the window, so its retries count but its requests do not.
            requests += bucket.number > current.number - static_cast<std::int64_t>(s_buckets) ? bucket.requests : 0;
        }
    }
    const double slack = members > 0 ? m_options.slack / static_cast<double>(members) : 0;
    if (retries + 1 > m_options.usableShare * (m_options.ratio * requests + slack)) {
        return false;
    }
    current.retries += 1;
    return true;
}

bool WarmUpShare::tryTake(double perSecond, std::size_t members, std::size_t rank, base::TimePoint now)
{
    while (!m_sent.empty() && m_sent.front() + s_warmUpWindow <= now) {
        m_sent.pop_front();
    }
    const auto total = static_cast<std::size_t>(std::max(1.0, std::floor(perSecond)));
    if (members == 0) {
        return false; // without known members the share is unknown
    }
    const std::size_t share = total / members + (rank < total % members ? 1U : 0U);
    if (m_sent.size() >= share) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

void SpillLimit::requestPlaced(base::TimePoint now)
{
    decay(now);
    m_requests += 1;
}

bool SpillLimit::tryTake(base::TimePoint now)
{
    decay(now);
    if (m_spilled + 1 > m_maximumShare * m_requests) {
        return false;
    }
    m_spilled += 1;
    return true;
}

bool SpillLimit::hasRecentRequests(base::TimePoint now)
{
    decay(now);
    constexpr double threshold = 0.5; // decayed number of requests
    return m_requests > threshold;
}

void SpillLimit::decay(base::TimePoint now)
{
    const double factor = std::exp(-base::toSeconds(now - m_decayedAt) / base::toSeconds(s_spillTimeConstant));
    m_requests *= factor;
    m_spilled *= factor;
    m_decayedAt = now;
}

} // namespace trefoilstile::ingress
