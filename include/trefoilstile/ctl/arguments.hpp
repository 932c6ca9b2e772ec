// Command line of `trefoilctl`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ctl/report.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/tablestore/http_connection.hpp"

namespace trefoilstile::ctl
{

enum class Command : std::uint8_t { Validate, Apply, Promote, Drain, Undrain, Status, History, Explain, ExplainRequest };

struct Arguments {
    Command command = Command::Status;
    std::optional<tablestore::Endpoint> platform;
    std::vector<tablestore::Endpoint> operators;
    std::string environment;
    OutputFormat output = OutputFormat::Text;
    base::Duration wait = std::chrono::seconds(10); ///< twice the 5 s in which a change is to be in effect everywhere
    bool ignoreEmptyDomains = false;
    std::string submitter; ///< first part of submission IDs, so that others see who it was

    std::string file;
    std::string from;
    std::string to;
    std::optional<std::string> hash;
    engine::Drain drain;
    std::string service;
    std::string client;
    std::string host;
    std::string path;
    std::string object;
    std::string account;
    std::string keyFile; ///< file with an API key; `-`: standard input
    std::int64_t deadlineMs = 0; ///< 0: the timeout of the route
};

/// Text to print instead of running a command.
struct UsageText {
    ExitStatus status = ExitStatus::Usage; ///< `Done` if help was asked for
    std::string text;
};

/// Reads the arguments after the program's name, and `TREFOILSTILE_*` from the process environment.
std::variant<Arguments, UsageText> parseArguments(std::vector<std::string> arguments);

} // namespace trefoilstile::ctl
