// Output of reports.

#include "trefoilstile/ctl/report.hpp"

#include <utility>

namespace trefoilstile::ctl
{

void Report::conclude(ExitStatus exitStatus, const char *outcome)
{
    status = exitStatus;
    json["exit_status"] = static_cast<int>(exitStatus);
    json["outcome"] = outcome;
}

void Report::say(std::string message)
{
    json["messages"].push_back(message);
    lines.push_back(std::move(message));
}

std::string formatted(const Report &report, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        // Text from files and other instances may not be UTF-8; such bytes are replaced.
        return report.json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    }
    std::string text;
    for (const std::string &line : report.lines) {
        text += line;
        text += '\n';
    }
    return text;
}

} // namespace trefoilstile::ctl
