// Statistics over seeds and the Markdown table.

#include "outcome.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include <fmt/format.h>

namespace trefoilstile::bench::overload
{

Spread spreadOf(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const double mean = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    double squares = 0;
    for (const double value : values) {
        squares += (value - mean) * (value - mean);
    }
    return {mean, values.size() < 2 ? 0.0 : std::sqrt(squares / static_cast<double>(values.size() - 1))};
}

Summary summarize(std::string day, std::string variant, const std::vector<RunResult> &runs)
{
    Summary summary{std::move(day), std::move(variant), {}, {}, {}};
    const double count = static_cast<double>(runs.size());
    for (std::size_t group = 0; group < runs.front().groups.size(); ++group) {
        GroupSummary &summed = summary.groups.emplace_back();
        summed.name = runs.front().groups[group].name;
        for (const RunResult &run : runs) {
            summed.sent += static_cast<double>(run.groups[group].tally.sent()) / count;
        }
        for (std::size_t outcome = 0; outcome < s_outcomes; ++outcome) {
            std::vector<double> shares;
            for (const RunResult &run : runs) {
                shares.push_back(run.groups[group].tally.share(static_cast<Outcome>(outcome)));
            }
            summed.shares[outcome] = spreadOf(shares);
        }
    }
    std::vector<double> cold;
    for (const RunResult &run : runs) {
        cold.push_back(run.served == 0 ? 0.0 : static_cast<double>(run.cold) / static_cast<double>(run.served));
    }
    summary.cold = spreadOf(cold);
    for (const RunResult &run : runs) {
        summary.seconds.resize(std::max(summary.seconds.size(), run.seconds.size()));
        for (std::size_t second = 0; second < run.seconds.size(); ++second) {
            for (std::size_t outcome = 0; outcome < s_outcomes; ++outcome) {
                summary.seconds[second][outcome] += static_cast<double>(run.seconds[second].counts[outcome]) / count;
            }
        }
    }
    return summary;
}

std::string markdownTables(const std::vector<Summary> &summaries)
{
    std::string text;
    std::vector<std::string> days;
    for (const Summary &summary : summaries) {
        if (std::find(days.begin(), days.end(), summary.day) == days.end()) {
            days.push_back(summary.day);
        }
    }
    for (const std::string &day : days) {
        std::string rule = "|---|---|---|";
        text += fmt::format("### {}\n\n| requests | variant | sent |", day);
        for (const char *name : s_outcomeNames) {
            text += fmt::format(" {} |", name);
            rule += "---|";
        }
        text += "\n" + rule + "\n";
        std::vector<const Summary *> ofDay;
        for (const Summary &summary : summaries) {
            if (summary.day == day) {
                ofDay.push_back(&summary);
            }
        }
        for (std::size_t group = 0; group < ofDay.front()->groups.size(); ++group) {
            for (const Summary *summary : ofDay) {
                const GroupSummary &line = summary->groups[group];
                text += fmt::format("| {} | {} | {:.0f} |", line.name, summary->variant, line.sent);
                for (const Spread &share : line.shares) {
                    text += fmt::format(" {:.3f} ± {:.3f} |", share.mean, share.deviation);
                }
                text += "\n";
            }
        }
        std::string cold;
        for (const Summary *summary : ofDay) {
            cold += fmt::format("{} {} {:.3f} ± {:.3f}", cold.empty() ? "" : ",", summary->variant, summary->cold.mean, summary->cold.deviation);
        }
        text += fmt::format("\nShare of cold work among the completed attempts:{}.\n\n", cold);
    }
    return text;
}

} // namespace trefoilstile::bench::overload
