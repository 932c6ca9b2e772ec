// Shares and the table of results.

#include "result.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace trefoilstile::bench::placement
{

double Result::worstWindow() const
{
    constexpr std::size_t coldWindows = 3;
    double worst = 1;
    for (std::size_t i = coldWindows; i < windows.size(); ++i) {
        worst = std::min(worst, windows[i].inObjectiveShare());
    }
    return worst;
}

double Result::worstRegion() const
{
    double worst = 1;
    for (const auto &[name, tally] : regions) {
        worst = std::min(worst, tally.inObjectiveShare());
    }
    return worst;
}

std::string table(const std::vector<Result> &results)
{
    std::string text = "| load | policy | within the objective | served | worst region | worst 2 s | by kind | cold runs | upstreams of a key | refusals |\n"
                       "|---|---|---|---|---|---|---|---|---|---|\n";
    for (const Result &result : results) {
        std::string kinds;
        for (const auto &[name, tally] : result.kinds) {
            kinds += fmt::format("{}{} {:.2f}", kinds.empty() ? "" : ", ", name, tally.inObjectiveShare());
        }
        text += fmt::format("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} | {:.3f} | {:.1f} | {} |\n",
            result.scenario,
            result.policy,
            result.all.inObjectiveShare(),
            result.all.servedShare(),
            result.worstRegion(),
            result.worstWindow(),
            kinds,
            result.coldShare(),
            result.keys == 0 ? 0.0 : static_cast<double>(result.upstreamsOfKeys) / static_cast<double>(result.keys),
            result.refusals);
    }
    return text;
}

} // namespace trefoilstile::bench::placement
