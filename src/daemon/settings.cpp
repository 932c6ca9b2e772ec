// Parses flags and environment variables with CLI11 and validates each value.

#include "trefoilstile/daemon/settings.hpp"

#include <algorithm>
#include <charconv>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ip.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr std::size_t s_minimumKeyBytes = 16; // 128 bits
constexpr std::size_t s_maximumNameBytes = 64;

/// Returns an empty string for a valid value, otherwise an error message with the allowed values.
std::string checkName(const std::string &value)
{
    const bool allowed =
        !value.empty() && value.size() <= s_maximumNameBytes && value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") == std::string::npos;
    return allowed ? std::string() : fmt::format("'{}' is not allowed: 1 to {} lower-case letters, digits, '-', '_' or '.'", value, s_maximumNameBytes);
}

std::string checkAddress(const std::string &value, unsigned minimumPort)
{
    const std::size_t colon = value.rfind(':');
    if (colon != std::string::npos && base::parseIpAddress(std::string_view(value).substr(0, colon))) {
        unsigned port = 0;
        const char *end = value.data() + value.size();
        const auto [position, error] = std::from_chars(value.data() + colon + 1, end, port);
        if (error == std::errc() && position == end && port >= minimumPort && port <= 65'535) {
            return {};
        }
    }
    return fmt::format("'{}' is not allowed: an IP address and a port from {} to 65535, such as 127.0.0.1:8080", value, minimumPort);
}

std::string checkListenAddress(const std::string &value)
{
    return checkAddress(value, 0);
}

std::string checkRemoteAddress(const std::string &value)
{
    return checkAddress(value, 1);
}

std::string checkKey(const std::string &value)
{
    // The value is a secret, so the message does not contain it.
    return value.size() >= s_minimumKeyBytes ? std::string() : fmt::format("a value of {} bytes is not allowed: at least {}", value.size(), s_minimumKeyBytes);
}

using Check = std::string (*)(const std::string &);

template<typename Target>
CLI::Option *addChecked(CLI::App &app, const std::string &flag, Target &target, const std::string &variable, const std::string &help, Check check)
{
    return app.add_option(flag, target, help)
        ->envname("TREFOILSTILE_" + variable)
        ->check(CLI::Validator(
            [check](std::string &value) {
                return check(value);
            },
            ""));
}

} // namespace

Settings parseSettings(std::span<const std::string> arguments)
{
    Settings settings;
    CLI::App app("Entry instance of the trefoilstile traffic steering system", "trefoilstiled");
    app.set_version_flag("--version", "trefoilstiled 0.1.0");
    addChecked(app, "--name", settings.name, "NAME", "Name of this instance", checkName)->required();
    addChecked(app, "--region", settings.region, "REGION", "Region of this instance", checkName)->required();
    addChecked(app, "--failure-domain", settings.failureDomain, "FAILURE_DOMAIN", "Failure domain of this instance", checkName)->required();
    addChecked(app, "--environment", settings.environment, "ENVIRONMENT", "Environment, such as trial or production", checkName)->required();
    addChecked(app, "--caller-address", settings.callerAddress, "CALLER_ADDRESS", "IP:port for callers", checkListenAddress)->required();
    addChecked(app, "--peer-address", settings.peerAddress, "PEER_ADDRESS", "IP:port for other instances, UDP and TCP", checkListenAddress)->required();
    addChecked(app, "--operator-address", settings.operatorAddress, "OPERATOR_ADDRESS", "IP:port for operators", checkListenAddress)->required();
    addChecked(app, "--platform", settings.platformAddress, "PLATFORM", "IP:port of the platform", checkRemoteAddress)->required();
    addChecked(app, "--seeds", settings.seeds, "SEEDS", "Peer addresses of some other instances, separated by commas", checkRemoteAddress)->delimiter(',');
    addChecked(app, "--mac-key", settings.macKey, "MAC_KEY", "Key that authenticates messages between instances", checkKey)->required();
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend()); // CLI11 expects the arguments in reverse order
    try {
        app.parse(reversed);
    } catch (const CLI::CallForHelp &) {
        throw HelpRequested(app.help());
    } catch (const CLI::CallForVersion &) {
        throw HelpRequested(app.version());
    } catch (const CLI::ParseError &error) {
        throw SettingsError(error.what());
    }
    return settings;
}

} // namespace trefoilstile::daemon
