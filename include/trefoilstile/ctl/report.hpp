// What a command has to say: exit status, lines for people, JSON for programs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace trefoilstile::ctl
{

/// Exit status of `trefoilctl`.
enum class ExitStatus : std::uint8_t {
    Done = 0, ///< done and, for changes, in effect everywhere
    Rejected = 1, ///< certainly not done
    Usage = 2,
    Unknown = 3, ///< outcome not known, or accepted but not in effect everywhere, or not everything could be asked
};

struct Report {
    ExitStatus status = ExitStatus::Done;
    std::vector<std::string> lines;
    nlohmann::ordered_json json = nlohmann::ordered_json::object();

    /// Sets the status and its name, which stands in the JSON as `outcome`.
    void conclude(ExitStatus exitStatus, const char *outcome);

    /// Adds a line and, in the JSON, an element of `messages`.
    void say(std::string message);
};

enum class OutputFormat : std::uint8_t { Text, Json };

/// The report as it is printed, with a newline at the end.
std::string formatted(const Report &report, OutputFormat format);

} // namespace trefoilstile::ctl
