#include "report.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace loadgen
{

namespace
{

using trefoilstile::base::s_priorityClasses;

constexpr const char *s_resultNames[] = {"served", "not_run", "unknown", "failed"};

struct Quantiles {
    double p50{};
    double p90{};
    double p99{};
    double max{};
};

/// Nearest-rank quantiles in ms; all zero if nothing was served.
Quantiles quantilesOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
        return values[std::max<std::size_t>(rank, 1) - 1];
    };
    return {at(0.5), at(0.9), at(0.99), values.back()};
}

} // namespace

void Report::add(trefoilstile::base::PriorityClass priorityClass, Result result, std::chrono::nanoseconds latency)
{
    ClassReport &report = classes[priorityClass];
    ++report.counts[static_cast<std::size_t>(result)];
    if (result == Result::Served) {
        report.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
    }
}

std::string Report::asText() const
{
    std::string text = fmt::format(
        "{:<12}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}\n", "class", "served", "not-run", "unknown", "failed", "p50 ms", "p90 ms", "p99 ms", "max ms");
    for (const auto priorityClass : s_priorityClasses) {
        const ClassReport &report = classes[priorityClass];
        const Quantiles quantiles = quantilesOf(report.latencies);
        text += fmt::format("{:<12}", toString(priorityClass));
        for (const std::uint64_t count : report.counts) {
            text += fmt::format("{:>10}", count);
        }
        text += fmt::format("{:>10.2f}{:>10.2f}{:>10.2f}{:>10.2f}\n", quantiles.p50, quantiles.p90, quantiles.p99, quantiles.max);
    }
    return text + fmt::format("lookups {} failed {} body bytes {}\n", lookups, lookupsFailed, bytes);
}

std::string Report::asJson() const
{
    nlohmann::json json{{"lookups", lookups}, {"lookups_failed", lookupsFailed}, {"body_bytes", bytes}};
    for (const auto priorityClass : s_priorityClasses) {
        const ClassReport &report = classes[priorityClass];
        const Quantiles quantiles = quantilesOf(report.latencies);
        nlohmann::json &entry = json["classes"][std::string(toString(priorityClass))];
        for (std::size_t i = 0; i < std::size(s_resultNames); ++i) {
            entry[s_resultNames[i]] = report.counts[i];
        }
        entry["latency_ms"] = {{"p50", quantiles.p50}, {"p90", quantiles.p90}, {"p99", quantiles.p99}, {"max", quantiles.max}};
    }
    return json.dump(2) + "\n";
}

} // namespace loadgen
