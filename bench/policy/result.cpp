// Output of the figures.

#include "result.hpp"

#include <algorithm>
#include <iterator>
#include <ostream>

#include <fmt/ostream.h>
#include <nlohmann/json.hpp>

namespace trefoilstile::bench
{

double ClassResult::quantile(double part) const
{
    if (latencies.empty()) {
        return 0.0;
    }
    std::vector<float> sorted = latencies;
    const auto position = static_cast<std::ptrdiff_t>(part * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
    return sorted[static_cast<std::size_t>(position)];
}

void printTable(std::ostream &out, std::span<const RunResult> results)
{
    fmt::print(out,
        "{:<10} {:<11} {:<12} {:<24} {:<11} {:>8} {:>8} {:>7} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>6}\n",
        "service",
        "scenario",
        "phase",
        "policy",
        "class",
        "offered",
        "served",
        "part",
        "rejected",
        "expired",
        "failed",
        "p50 ms",
        "p99 ms",
        "slots",
        "idle");
    for (const RunResult &run : results) {
        for (const PhaseResult &phase : run.phases) {
            for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
                const ClassResult &figures = phase.classes[priorityClass];
                fmt::print(out,
                    "{:<10} {:<11} {:<12} {:<24} {:<11} {:>8} {:>8} {:>7.4f} {:>8} {:>8} {:>7} {:>8.1f} {:>8.1f} {:>6.3f} {:>6.3f}\n",
                    run.deployment,
                    run.scenario,
                    phase.name,
                    run.policy,
                    toString(priorityClass),
                    figures.offered,
                    figures.served,
                    figures.offered == 0 ? 1.0 : static_cast<double>(figures.served) / static_cast<double>(figures.offered),
                    figures.rejected,
                    figures.expired,
                    figures.failed,
                    figures.quantile(0.5),
                    figures.quantile(0.99),
                    figures.slotShare,
                    phase.headroom);
            }
        }
        if (run.drainSeconds >= 0.0) {
            fmt::print(
                out, "{} {} {}: drained in {:.1f} s, starts after 3 s: {}\n", run.deployment, run.scenario, run.policy, run.drainSeconds, run.startsAfterDrain);
        }
    }
}

void printJson(std::ostream &out, std::span<const RunResult> results)
{
    nlohmann::json list = nlohmann::json::array();
    for (const RunResult &run : results) {
        nlohmann::json phases = nlohmann::json::array();
        for (const PhaseResult &phase : run.phases) {
            nlohmann::json classes;
            for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
                const ClassResult &figures = phase.classes[priorityClass];
                classes[std::string(toString(priorityClass))] = {{"offered", figures.offered},
                    {"served", figures.served},
                    {"rejected", figures.rejected},
                    {"expired", figures.expired},
                    {"failed", figures.failed},
                    {"p50_ms", figures.quantile(0.5)},
                    {"p99_ms", figures.quantile(0.99)},
                    {"slot_share", figures.slotShare}};
            }
            phases.push_back({{"phase", phase.name}, {"classes", classes}, {"headroom", phase.headroom}, {"upstream_rejections", phase.upstreamRejections}});
        }
        nlohmann::json item{{"service", run.deployment}, {"scenario", run.scenario}, {"policy", run.policy}, {"phases", phases}};
        if (run.drainSeconds >= 0.0) {
            item["drain_seconds"] = run.drainSeconds;
            item["starts_after_drain"] = run.startsAfterDrain;
        }
        list.push_back(std::move(item));
    }
    out << list.dump(2) << '\n';
}

} // namespace trefoilstile::bench
