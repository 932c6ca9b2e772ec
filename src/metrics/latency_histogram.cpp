// Adds samples to the accumulator set and reads its results.

#include "trefoilstile/metrics/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::metrics
{

namespace accumulators = boost::accumulators;

void LatencyHistogram::add(base::Duration latency)
{
    m_accumulators(base::toSeconds(latency));
}

std::uint64_t LatencyHistogram::count() const
{
    return accumulators::count(m_accumulators);
}

double LatencyHistogram::sumSeconds() const
{
    return accumulators::sum(m_accumulators);
}

double LatencyHistogram::maximumSeconds() const
{
    return count() == 0 ? 0 : accumulators::max(m_accumulators);
}

const BucketCounts &LatencyHistogram::buckets() const
{
    return accumulators::extract_result<detail::BucketTag>(m_accumulators);
}

double LatencyHistogram::quantileSeconds(double fraction) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count())));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < s_bucketBounds.size(); ++i) {
        cumulative += buckets()[i];
        if (cumulative >= rank) {
            return std::min(s_bucketBounds[i], maximumSeconds());
        }
    }
    return maximumSeconds();
}

} // namespace trefoilstile::metrics
