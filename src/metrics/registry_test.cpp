// Guards against misleading metrics: buckets that do not add up, and labels that break the text format.

#include "trefoilstile/metrics/registry.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace std::chrono_literals;
using namespace trefoilstile;
using metrics::LatencyHistogram;

BOOST_AUTO_TEST_SUITE(Metrics)

// A sample in the wrong bucket, or in none, would make the reported latency lower than the real one.
RC_BOOST_PROP(quantileIsNeverBelowTheTrueOne, (const std::vector<std::uint16_t> &milliseconds))
{
    LatencyHistogram histogram;
    std::vector<double> sorted;
    for (const std::uint16_t value : milliseconds) {
        histogram.add(std::chrono::milliseconds(value));
        sorted.push_back(value / 1000.0);
    }
    std::sort(sorted.begin(), sorted.end());
    std::uint64_t total = 0;
    for (const std::uint64_t count : histogram.buckets()) {
        total += count;
    }
    RC_ASSERT(total == milliseconds.size());
    if (!sorted.empty()) {
        RC_ASSERT(histogram.quantileSeconds(0.5) >= sorted[(sorted.size() - 1) / 2]);
        RC_ASSERT(histogram.quantileSeconds(1.0) == sorted.back());
    }
}

// Prometheus needs cumulative buckets and escaped label values; otherwise it misreads or rejects the text.
BOOST_AUTO_TEST_CASE(printsPrometheusText)
{
    metrics::Registry registry;
    registry.observe("latency_seconds", {{"class", "urgent"}}, 3ms);
    registry.increment("rejected_total", {{"reason", "a\"b\\c\nd"}}, 2);
    registry.set("ready", {}, 1);
    const std::string text = registry.prometheusText();
    BOOST_TEST(text.find("latency_seconds_bucket{class=\"urgent\",le=\"0.002\"} 0\n") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_bucket{class=\"urgent\",le=\"0.005\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_bucket{class=\"urgent\",le=\"+Inf\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_count{class=\"urgent\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("rejected_total{reason=\"a\\\"b\\\\c\\nd\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("ready 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
