// Metric series of an instance by name and labels, and their export in the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/metrics/latency_histogram.hpp"

namespace trefoilstile::metrics
{

/// Labels of a series, in the order in which they are printed.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Holds metric series by name and labels. Not thread-safe: a single thread owns it, in the daemon the reporting thread.
class Registry
{
public:
    void observe(std::string_view name, const Labels &labels, base::Duration latency);
    void increment(std::string_view name, const Labels &labels, std::uint64_t by = 1);
    void set(std::string_view name, const Labels &labels, double value);

    /// Histogram with that name and labels, or null.
    const LatencyHistogram *histogram(std::string_view name, const Labels &labels) const;

    /// Text exposition format of Prometheus, version 0.0.4.
    std::string prometheusText() const;

private:
    template<typename Value>
    using Family = std::map<std::string, std::map<std::string, Value>, std::less<>>; // by name, then by label text

    Family<LatencyHistogram> m_histograms;
    Family<std::uint64_t> m_counters;
    Family<double> m_gauges;
};

} // namespace trefoilstile::metrics
