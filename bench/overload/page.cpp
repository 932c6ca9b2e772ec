// Plots of an experiment as inline SVG: bars with error bars by group of requests, and time lines.

#include "page.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <span>

#include <fmt/format.h>

namespace trefoilstile::bench::overload
{

namespace
{

constexpr std::array<const char *, 7> s_variantColours{"#4269d0", "#efb118", "#ff725c", "#3ca951", "#a463f2", "#6cc5b0", "#97836a"};
constexpr std::array<const char *, s_outcomes> s_outcomeColours{"#2f8f6b", "#a3d4b7", "#f3cf73", "#e8914a", "#c6403d"};

constexpr const char *s_style = R"(<style>
:root{--ink:#1c2430;--soft:#66707f;--line:#dfe3e8;--card:#fff;--ground:#f4f6f8}
@media(prefers-color-scheme:dark){:root{--ink:#e7ebf0;--soft:#98a3b3;--line:#343c48;--card:#1d232c;--ground:#14181e}}
body{margin:0;background:var(--ground);color:var(--ink);font:15px/1.5 system-ui,sans-serif}
main{max-width:1080px;margin:0 auto;padding:2.5rem 1.25rem}
h1{font-size:1.7rem;margin:0}h2{font-size:1.25rem;margin:2.5rem 0 .5rem}h3{font-size:1rem;margin:0 0 .25rem}
p{color:var(--soft);margin:.25rem 0 .75rem}
section{background:var(--card);border:1px solid var(--line);border-radius:10px;padding:1.1rem 1.25rem;margin:1rem 0}
svg{display:block;width:100%;height:auto;overflow:visible}
svg text{fill:var(--ink);font:12px system-ui,sans-serif}svg text.soft{fill:var(--soft)}
.grid{stroke:var(--line)}.error{stroke:var(--ink);stroke-width:1.4}
.key{display:flex;flex-wrap:wrap;gap:.3rem 1.1rem;font-size:.87rem}.key i{display:inline-block;width:.8rem;height:.8rem;border-radius:3px;margin-right:.4rem}
.lines{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(420px,100%),1fr));gap:1rem 2rem}
table{border-collapse:collapse;font-size:.85rem;font-variant-numeric:tabular-nums}
td,th{padding:.2rem .7rem;border-bottom:1px solid var(--line);text-align:right;white-space:nowrap}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
details{overflow-x:auto}summary{cursor:pointer;color:var(--soft)}
</style>
)";

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

const char *variantColour(std::size_t variant)
{
    return s_variantColours[variant % s_variantColours.size()];
}

/// Names with their colours.
template<typename Names, typename ColourOf>
std::string key(const Names &names, ColourOf colourOf)
{
    std::string text = "<div class=\"key\">";
    for (std::size_t i = 0; i < std::size(names); ++i) {
        text += fmt::format("<span><i style=\"background:{}\"></i>{}</span>", colourOf(i), escaped(names[i]));
    }
    return text + "</div>\n";
}

/// Round step of an axis that divides the range into about four parts.
double axisStep(double range)
{
    const double power = std::pow(10, std::floor(std::log10(std::max(range, 1e-9) / 4)));
    const double parts = range / 4 / power;
    return power * (parts < 1.5 ? 1 : parts < 3.5 ? 2 : parts < 7.5 ? 5 : 10);
}

using DaySummaries = std::span<const Summary>;

/// Share served in time: a cluster of bars for each group, a bar for each variant, with the standard deviation over seeds.
std::string bars(DaySummaries day, std::size_t firstGroup, std::size_t endGroup)
{
    constexpr double width = 1'000;
    constexpr double height = 220;
    constexpr double left = 40;
    const double cluster = (width - left) / static_cast<double>(endGroup - firstGroup);
    const double bar = std::min(44.0, cluster * 0.8 / static_cast<double>(day.size()));
    const auto y = [](double share) {
        return height * (1 - std::clamp(share, 0.0, 1.0));
    };
    std::string svg = fmt::format("<svg viewBox=\"0 -16 {} {}\" role=\"img\">\n", width, height + 44);
    for (int percent = 0; percent <= 100; percent += 25) {
        svg += fmt::format("<line class=\"grid\" x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\"/><text class=\"soft\" x=\"{3}\" y=\"{4:.1f}\" "
                           "text-anchor=\"end\">{5}%</text>\n",
            left,
            width,
            y(percent / 100.0),
            left - 6,
            y(percent / 100.0) + 4,
            percent);
    }
    for (std::size_t group = firstGroup; group < endGroup; ++group) {
        const double middle = left + cluster * (static_cast<double>(group - firstGroup) + 0.5);
        for (std::size_t variant = 0; variant < day.size(); ++variant) {
            const Spread &share = day[variant].groups[group].shares[static_cast<std::size_t>(Outcome::InTime)];
            const double x = middle + bar * (static_cast<double>(variant) - static_cast<double>(day.size()) / 2);
            svg += fmt::format("<g><title>{}, {}: {:.1f}% ± {:.1f} served in time</title><rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
                               "rx=\"2\" fill=\"{}\"/>",
                escaped(day[variant].groups[group].name),
                escaped(day[variant].variant),
                100 * share.mean,
                100 * share.deviation,
                x + 1,
                y(share.mean),
                bar - 2,
                height - y(share.mean),
                variantColour(variant));
            svg += fmt::format("<line class=\"error\" x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1:.1f}\" y2=\"{2:.1f}\"/><text x=\"{0:.1f}\" y=\"{3:.1f}\" "
                               "text-anchor=\"middle\">{4:.0f}</text></g>\n",
                x + bar / 2,
                y(share.mean - share.deviation),
                y(share.mean + share.deviation),
                y(share.mean + share.deviation) - 4,
                100 * share.mean);
        }
        svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", middle, height + 20, escaped(day.front().groups[group].name));
    }
    return svg + "</svg>\n";
}

/// Requests sent in each second, stacked by what became of them.
std::string timeLine(const Summary &summary, double top, double settle)
{
    constexpr double width = 460;
    constexpr double height = 150;
    constexpr double left = 42;
    const auto count = summary.seconds.size();
    const auto x = [&](double second) {
        return left + (width - left) * second / std::max(1.0, static_cast<double>(count) - 1);
    };
    const auto y = [&](double requests) {
        return height * (1 - requests / top);
    };
    std::string svg = fmt::format("<svg viewBox=\"0 -8 {} {}\" role=\"img\">\n", width, height + 32);
    std::vector<double> below(count);
    for (std::size_t outcome = 0; outcome < s_outcomes; ++outcome) {
        std::string upper;
        std::string lower;
        for (std::size_t second = 0; second < count; ++second) {
            const double at = x(static_cast<double>(second));
            lower = fmt::format("{:.1f},{:.1f} ", at, y(below[second])) + lower;
            below[second] += summary.seconds[second][outcome];
            upper += fmt::format("{:.1f},{:.1f} ", at, y(below[second]));
        }
        svg +=
            fmt::format("<polygon points=\"{}{}\" fill=\"{}\"><title>{}</title></polygon>\n", upper, lower, s_outcomeColours[outcome], s_outcomeNames[outcome]);
    }
    for (double requests = 0; requests <= top; requests += axisStep(top)) {
        svg += fmt::format("<line class=\"grid\" x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" opacity=\".7\"/><text class=\"soft\" x=\"{3}\" "
                           "y=\"{4:.1f}\" text-anchor=\"end\">{5:.0f}</text>\n",
            left,
            width,
            y(requests),
            left - 5,
            y(requests) + 4,
            requests);
    }
    for (double second = 0; second < static_cast<double>(count); second += axisStep(static_cast<double>(count))) {
        svg += fmt::format("<text class=\"soft\" x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:.0f} s</text>\n", x(second), height + 17, second);
    }
    if (settle > 0) {
        svg += fmt::format("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"0\" y2=\"{1}\" stroke=\"currentColor\" stroke-dasharray=\"3 3\"><title>counted from "
                           "here</title></line>\n",
            x(settle),
            height);
    }
    return svg + "</svg>\n";
}

std::string timeLines(DaySummaries day, double settle)
{
    double top = 1;
    for (const Summary &summary : day) {
        for (const auto &second : summary.seconds) {
            top = std::max(top, std::accumulate(second.begin(), second.end(), 0.0));
        }
    }
    std::string text = key(s_outcomeNames, [](std::size_t outcome) {
        return s_outcomeColours[outcome];
    });
    text += "<p>Requests per second by the time at which they were sent. The upper edge is the load; results count from the dashed line.</p>\n"
            "<div class=\"lines\">\n";
    for (const Summary &summary : day) {
        text += fmt::format("<div><h3>{}</h3>{}</div>\n", escaped(summary.variant), timeLine(summary, top, settle));
    }
    return text + "</div>\n";
}

std::string figures(DaySummaries day)
{
    std::string text = "<details><summary>All figures</summary><table><tr><th>requests</th><th>variant</th><th>sent</th>";
    for (const char *name : s_outcomeNames) {
        text += fmt::format("<th>{}</th>", name);
    }
    text += "</tr>\n";
    for (std::size_t group = 0; group < day.front().groups.size(); ++group) {
        for (const Summary &summary : day) {
            const GroupSummary &line = summary.groups[group];
            text += fmt::format("<tr><td>{}</td><td>{}</td><td>{:.0f}</td>", escaped(line.name), escaped(summary.variant), line.sent);
            for (const Spread &share : line.shares) {
                text += fmt::format("<td>{:.3f} ± {:.3f}</td>", share.mean, share.deviation);
            }
            text += "</tr>\n";
        }
    }
    return text + "</table></details>\n";
}

} // namespace

std::string page(const Experiment &experiment, const std::vector<Summary> &summaries)
{
    const std::string title = escaped(experiment.name);
    std::string text = fmt::format("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
                                   "content=\"width=device-width\"><title>{0}</title>\n{1}</head><body><main>\n<h1>{0}</h1>\n",
        title,
        s_style);
    text += fmt::format("<p>Deployment {}, emulated in virtual time: {:.0f} s a run, {} seeds. Bars show the mean over the seeds, the line on each bar its "
                        "standard deviation.</p>\n",
        escaped(experiment.deployment.name),
        experiment.length,
        experiment.seeds.size());
    const std::size_t variants = experiment.variants.size();
    std::vector<std::string> names;
    for (const Variant &variant : experiment.variants) {
        names.push_back(variant.name);
    }
    const std::size_t endOfKinds = 1 + experiment.deployment.kinds.size();
    for (std::size_t first = 0; first + variants <= summaries.size(); first += variants) {
        const DaySummaries day(summaries.data() + first, variants);
        text += fmt::format("<h2>{}</h2>\n{}", escaped(day.front().day), key(names, variantColour));
        text += "<section><h3>Served in time by kind of request</h3>" + bars(day, 0, endOfKinds) + "</section>\n";
        if (day.front().groups.size() > endOfKinds) {
            text +=
                "<section><h3>Served in time by account and by conduct of the caller</h3>" + bars(day, endOfKinds, day.front().groups.size()) + "</section>\n";
        }
        text += "<section><h3>Over time</h3>" + timeLines(day, experiment.settle) + figures(day) + "</section>\n";
    }
    return text + "</main></body></html>\n";
}

} // namespace trefoilstile::bench::overload
