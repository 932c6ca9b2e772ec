// Statistics over seeds and the Markdown table.

#include "outcome.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include <fmt/format.h>
#include <fmt/ranges.h>

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

namespace
{

/// Of each run: the mean over the accounts, that of the worst tenth, and the worst.
template<typename Share>
AccountShares accountShares(const std::vector<RunResult> &runs, Share share)
{
    std::vector<double> means;
    std::vector<double> tenths;
    std::vector<double> worst;
    for (const RunResult &run : runs) {
        std::vector<double> shares;
        for (const Tally &account : run.accounts) {
            if (account.sent() > 0) {
                shares.push_back(share(account));
            }
        }
        if (shares.empty()) {
            return {};
        }
        std::sort(shares.begin(), shares.end());
        const std::size_t tenth = (shares.size() + 9) / 10;
        means.push_back(spreadOf(shares).mean);
        tenths.push_back(spreadOf({shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(tenth)}).mean);
        worst.push_back(shares.front());
    }
    return {spreadOf(means), spreadOf(tenths), spreadOf(worst)};
}

/// Table of the shares by account; empty without accounts.
std::string accountTable(const std::vector<const Summary *> &ofDay)
{
    const bool none = std::all_of(ofDay.begin(), ofDay.end(), [](const Summary *summary) {
        return summary->served.mean.mean == 0;
    });
    if (none) {
        return {};
    }
    std::string text =
        "\n| accounts without the hot one | in time: mean | worst tenth | worst | served: mean | worst tenth | worst |\n|---|---|---|---|---|---|---|\n";
    for (const Summary *summary : ofDay) {
        text += fmt::format("| {} |", summary->variant);
        for (const AccountShares &shares : {summary->inTime, summary->served}) {
            for (const Spread &share : {shares.mean, shares.worstTenth, shares.worst}) {
                text += fmt::format(" {:.3f} ± {:.3f} |", share.mean, share.deviation);
            }
        }
        text += "\n";
    }
    return text;
}

} // namespace

Summary summarize(std::string day, std::string variant, const std::vector<RunResult> &runs)
{
    Summary summary;
    summary.day = std::move(day);
    summary.variant = std::move(variant);
    const double count = static_cast<double>(runs.size());
    for (std::size_t group = 0; group < runs.front().groups.size(); ++group) {
        GroupSummary &summed = summary.groups.emplace_back();
        summed.name = runs.front().groups[group].name;
        for (const RunResult &run : runs) {
            const auto sent = static_cast<double>(run.groups[group].tally.sent());
            summed.sent += sent / count;
            for (std::size_t cause = 0; cause < s_refusals; ++cause) {
                summed.refusedTries[cause] += static_cast<double>(run.groups[group].refusedTries[cause]) / std::max(1.0, sent) / count;
            }
        }
        for (std::size_t outcome = 0; outcome < s_outcomes; ++outcome) {
            std::vector<double> shares;
            for (const RunResult &run : runs) {
                shares.push_back(run.groups[group].tally.share(static_cast<Outcome>(outcome)));
            }
            summed.shares[outcome] = spreadOf(shares);
        }
    }
    summary.inTime = accountShares(runs, [](const Tally &tally) {
        return tally.share(Outcome::InTime);
    });
    summary.served = accountShares(runs, [](const Tally &tally) {
        return tally.served();
    });
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
        text += fmt::format(" tries refused: {} |\n{}---|\n", fmt::join(s_refusalNames, ", "), rule);
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
                text += fmt::format(" {:.3f} |\n", fmt::join(line.refusedTries, ", "));
            }
        }
        text += accountTable(ofDay);
        std::string cold;
        for (const Summary *summary : ofDay) {
            cold += fmt::format("{} {} {:.3f} ± {:.3f}", cold.empty() ? "" : ",", summary->variant, summary->cold.mean, summary->cold.deviation);
        }
        text += fmt::format("\nShare of cold work among the completed attempts:{}.\n\n", cold);
    }
    return text;
}

} // namespace trefoilstile::bench::overload
