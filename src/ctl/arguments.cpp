// Command line with CLI11, and the checks that it leaves to us.

#include "trefoilstile/ctl/arguments.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/ctl/commands.hpp"
#include "trefoilstile/tablestore/drain_store.hpp"

namespace trefoilstile::ctl
{

namespace
{

/// Longest accepted wait: one hour, so that a mistyped value does not block a script for days.
constexpr std::int64_t s_maximumWaitMs = 3'600'000;

/// Texts as given, before they are checked.
struct RawArguments {
    std::string platform;
    std::vector<std::string> operators;
    std::string output = "text";
    std::int64_t waitMs = base::toMilliseconds(Arguments().wait);
    std::string kind;
};

/// Invalid combination or value; the text names the flag, the value and what is allowed.
struct InvalidArgument {
    std::string text;
};

void addCommonOptions(CLI::App &app, RawArguments &raw, Arguments &arguments)
{
    app.add_option("--platform", raw.platform, "IP:port of the platform")->envname("TREFOILSTILE_PLATFORM");
    app.add_option("--operator", raw.operators, "IP:port of operator ports to ask, separated by commas")->delimiter(',')->envname("TREFOILSTILE_OPERATOR");
    app.add_option("--env", arguments.environment, "environment")->envname("TREFOILSTILE_ENV");
    app.add_option("--output", raw.output, "text or json")->check(CLI::IsMember({"text", "json"}))->envname("TREFOILSTILE_OUTPUT")->capture_default_str();
    app.add_option("--wait-ms", raw.waitMs, "how long to wait for a change to be in effect")
        ->check(CLI::Range(std::int64_t{0}, s_maximumWaitMs))
        ->envname("TREFOILSTILE_WAIT_MS")
        ->capture_default_str();
    app.add_option("--submitter", arguments.submitter, "name in submission IDs (default: the login name)")->envname("TREFOILSTILE_SUBMITTER");
    app.add_flag("--ignore-empty-domains", arguments.ignoreEmptyDomains, "in production: do not wait for failure domains without any known instance")
        ->envname("TREFOILSTILE_IGNORE_EMPTY_DOMAINS");
}

void addDrainCommand(CLI::App &app, const std::string &name, const std::string &description, RawArguments &raw, Arguments &arguments)
{
    CLI::App *command = app.add_subcommand(name, description);
    command->add_option("kind", raw.kind, "upstream, entry, failure-domain or region")->required();
    command->add_option("name", arguments.drain.name, "name")->required();
}

void addCommands(CLI::App &app, RawArguments &raw, Arguments &arguments)
{
    app.add_subcommand("validate", "check a document")->add_option("file", arguments.file, "document")->required();
    app.add_subcommand("apply", "submit a document to an environment other than production")->add_option("file", arguments.file, "document")->required();
    CLI::App *promote = app.add_subcommand("promote", "submit the document of one environment to another");
    promote->add_option("--from", arguments.from, "environment")->required();
    promote->add_option("--to", arguments.to, "environment")->required();
    promote->add_option("--hash", arguments.hash, "hash that the document must have");
    addDrainCommand(app, "drain", "take an upstream, entry instance, failure domain or region out of use", raw, arguments);
    addDrainCommand(app, "undrain", "end a drain", raw, arguments);
    app.add_subcommand("status", "show the state of the instances");
    app.add_subcommand("history", "show the accepted documents of an environment");
    CLI::App *explain = app.add_subcommand("explain", "show why a caller is steered where it is");
    explain->add_option("--service", arguments.service, "service")->required();
    explain->add_option("--client", arguments.client, "IP address of the caller")->required();
    CLI::App *request = app.add_subcommand("explain-request", "show where an entry process would send a request now, and why, without sending it");
    request->add_option("--host", arguments.host, "host of the request")->required();
    request->add_option("--path", arguments.path, "path of the request")->required();
    request->add_option("--object", arguments.object, "key of the object that the request concerns");
    CLI::Option *account = request->add_option("--account", arguments.account, "name of the client account");
    request->add_option("--key-file", arguments.keyFile, "file with an API key of the account, - for standard input")->excludes(account);
    request->add_option("--deadline-ms", arguments.deadlineMs, "time that the caller waits")->check(CLI::Range(std::int64_t{1}, std::int64_t{3'600'000}));
    for (CLI::App *command : app.get_subcommands([](CLI::App *) {
             return true;
         })) {
        command->fallthrough();
    }
    app.require_subcommand(1);
}

Command commandFromString(const std::string &name)
{
    static const std::map<std::string, Command> commands{{"validate", Command::Validate},
        {"apply", Command::Apply},
        {"promote", Command::Promote},
        {"drain", Command::Drain},
        {"undrain", Command::Undrain},
        {"status", Command::Status},
        {"history", Command::History},
        {"explain", Command::Explain},
        {"explain-request", Command::ExplainRequest}};
    return commands.at(name);
}

tablestore::Endpoint endpoint(const std::string &flag, const std::string &text)
{
    const auto parsed = tablestore::parseEndpoint(text);
    if (!parsed) {
        throw InvalidArgument{fmt::format("{} {}: must be IP:port", flag, text)};
    }
    return *parsed;
}

void checkEnvironment(const std::string &flag, const std::string &name)
{
    const bool valid = !name.empty() && name.size() <= 63 && name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
    if (!valid) {
        throw InvalidArgument{fmt::format("{} '{}': must be 1 to 63 lower-case letters, digits or '-'", flag, name)};
    }
}

void require(bool given, const std::string &flag)
{
    if (!given) {
        throw InvalidArgument{fmt::format("{}: must be given for this command", flag)};
    }
}

void checkChange(Arguments &arguments, const RawArguments &raw)
{
    switch (arguments.command) {
    case Command::Apply:
        checkEnvironment("--env", arguments.environment);
        if (arguments.environment == s_production) {
            throw InvalidArgument{"--env production: documents get there by `promote` from an environment in which they were tried"};
        }
        break;
    case Command::Promote:
        checkEnvironment("--from", arguments.from);
        checkEnvironment("--to", arguments.to);
        if (arguments.from == arguments.to) {
            throw InvalidArgument{fmt::format("--to {}: must differ from --from", arguments.to)};
        }
        break;
    case Command::Drain:
    case Command::Undrain: {
        checkEnvironment("--env", arguments.environment);
        const auto kind = tablestore::drainKindFromString(raw.kind);
        if (!kind) {
            throw InvalidArgument{fmt::format("kind {}: must be upstream, entry, failure-domain or region", raw.kind)};
        }
        arguments.drain.kind = *kind;
        break;
    }
    default:
        break;
    }
}

void check(Arguments &arguments, const RawArguments &raw)
{
    if (!raw.platform.empty()) {
        arguments.platform = endpoint("--platform", raw.platform);
    }
    for (const std::string &text : raw.operators) {
        arguments.operators.push_back(endpoint("--operator", text));
    }
    const bool needsPorts = arguments.command == Command::Status || arguments.command == Command::Explain || arguments.command == Command::ExplainRequest;
    require(arguments.platform.has_value() || needsPorts || arguments.command == Command::Validate, "--platform");
    require(!arguments.operators.empty() || !needsPorts, "--operator");
    if (arguments.command == Command::History) {
        checkEnvironment("--env", arguments.environment);
    }
    if (arguments.command == Command::Explain && !base::parseIpAddress(arguments.client)) {
        throw InvalidArgument{fmt::format("--client {}: must be an IP address", arguments.client)};
    }
    if (arguments.command == Command::ExplainRequest && !arguments.path.starts_with('/')) {
        throw InvalidArgument{fmt::format("--path {}: must begin with a slash", arguments.path)};
    }
    checkChange(arguments, raw);
    if (arguments.submitter.empty()) {
        const char *login = std::getenv("USER");
        arguments.submitter = login != nullptr && *login != '\0' ? login : "trefoilctl";
    }
}

} // namespace

std::variant<Arguments, UsageText> parseArguments(std::vector<std::string> given)
{
    CLI::App app("Operators' tool of trefoilstile", "trefoilctl");
    Arguments arguments;
    RawArguments raw;
    addCommonOptions(app, raw, arguments);
    addCommands(app, raw, arguments);
    try {
        std::reverse(given.begin(), given.end()); // the order that CLI11 wants
        app.parse(std::move(given));
        arguments.command = commandFromString(app.get_subcommands().front()->get_name());
        arguments.output = raw.output == "json" ? OutputFormat::Json : OutputFormat::Text;
        arguments.wait = std::chrono::milliseconds(raw.waitMs);
        check(arguments, raw);
    } catch (const CLI::ParseError &error) {
        std::ostringstream text;
        const int status = app.exit(error, text, text);
        return UsageText{status == 0 ? ExitStatus::Done : ExitStatus::Usage, text.str()};
    } catch (const InvalidArgument &error) {
        return UsageText{ExitStatus::Usage, error.text + "\n"};
    }
    return arguments;
}

} // namespace trefoilstile::ctl
