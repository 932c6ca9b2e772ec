// Histogram of latencies with fixed buckets, built as a Boost.Accumulators set.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::metrics
{

/// Upper bounds of the buckets in seconds, ascending; an additional bucket holds samples above the last bound.
inline constexpr std::array<double, 15> s_bucketBounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

/// Sample counts by bucket; the last one holds samples above all bounds.
using BucketCounts = std::array<std::uint64_t, s_bucketBounds.size() + 1>;

namespace detail
{

/// Accumulator that counts samples by bucket.
struct BucketAccumulator : boost::accumulators::accumulator_base {
    using result_type = const BucketCounts &;

    explicit BucketAccumulator(boost::accumulators::dont_care)
    {
    }

    template<typename Arguments>
    void operator()(const Arguments &arguments)
    {
        const double seconds = arguments[boost::accumulators::sample];
        std::size_t bucket = 0;
        while (bucket < s_bucketBounds.size() && seconds > s_bucketBounds[bucket]) {
            ++bucket;
        }
        ++m_counts[bucket];
    }

    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

private:
    BucketCounts m_counts{};
};

struct BucketTag : boost::accumulators::depends_on<> {
    using impl = boost::mpl::always<BucketAccumulator>;
};

} // namespace detail

/// Histogram of the latencies of one series.
class LatencyHistogram
{
public:
    void add(base::Duration latency);

    std::uint64_t count() const;
    double sumSeconds() const;
    double maximumSeconds() const; ///< 0 without samples
    const BucketCounts &buckets() const;

    /// Upper bound in seconds of the bucket that holds the quantile, or the maximum if that is smaller; 0 without samples.
    /// @param fraction from 0 to 1
    double quantileSeconds(double fraction) const;

private:
    using Features =
        boost::accumulators::features<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max, detail::BucketTag>;

    boost::accumulators::accumulator_set<double, Features> m_accumulators;
};

} // namespace trefoilstile::metrics
