// Updates of the series, and their Prometheus text.

#include "trefoilstile/metrics/registry.hpp"

#include <iterator>

#include <fmt/format.h>

namespace trefoilstile::metrics
{

namespace
{

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value));
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? labels : "{" + labels + "}";
}

void printHistogram(std::string &out, const std::string &name, const std::string &labels, const LatencyHistogram &histogram)
{
    const std::string separator = labels.empty() ? "" : ",";
    const auto sink = std::back_inserter(out);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < s_bucketBounds.size(); ++i) {
        cumulative += histogram.buckets()[i];
        fmt::format_to(sink, "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, separator, s_bucketBounds[i], cumulative);
    }
    fmt::format_to(sink, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, histogram.count());
    fmt::format_to(sink, "{}_sum{} {}\n", name, braced(labels), histogram.sumSeconds());
    fmt::format_to(sink, "{}_count{} {}\n", name, braced(labels), histogram.count());
}

} // namespace

void Registry::observe(std::string_view name, const Labels &labels, base::Duration latency)
{
    m_histograms[std::string(name)][labelText(labels)].add(latency);
}

void Registry::increment(std::string_view name, const Labels &labels, std::uint64_t by)
{
    m_counters[std::string(name)][labelText(labels)] += by;
}

void Registry::set(std::string_view name, const Labels &labels, double value)
{
    m_gauges[std::string(name)][labelText(labels)] = value;
}

const LatencyHistogram *Registry::histogram(std::string_view name, const Labels &labels) const
{
    const auto family = m_histograms.find(name);
    if (family == m_histograms.end()) {
        return nullptr;
    }
    const auto series = family->second.find(labelText(labels));
    return series == family->second.end() ? nullptr : &series->second;
}

std::string Registry::prometheusText() const
{
    std::string out;
    for (const auto &[name, family] : m_histograms) {
        out += fmt::format("# TYPE {} histogram\n", name);
        for (const auto &[labels, histogram] : family) {
            printHistogram(out, name, labels, histogram);
        }
    }
    for (const auto &[name, family] : m_counters) {
        out += fmt::format("# TYPE {} counter\n", name);
        for (const auto &[labels, value] : family) {
            out += fmt::format("{}{} {}\n", name, braced(labels), value);
        }
    }
    for (const auto &[name, family] : m_gauges) {
        out += fmt::format("# TYPE {} gauge\n", name);
        for (const auto &[labels, value] : family) {
            out += fmt::format("{}{} {}\n", name, braced(labels), value);
        }
    }
    return out;
}

} // namespace trefoilstile::metrics
