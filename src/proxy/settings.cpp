// Parses and checks the settings with CLI11.

#include "trefoilstile/proxy/settings.hpp"

#include <charconv>
#include <cmath>
#include <cstdlib>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ip.hpp"

namespace trefoilstile::proxy
{

namespace
{

std::string checkAddress(const std::string &value)
{
    const std::size_t colon = value.rfind(':');
    if (colon != std::string::npos && base::parseIpAddress(std::string_view(value).substr(0, colon))) {
        unsigned port = 0;
        const char *end = value.data() + value.size();
        const auto [position, error] = std::from_chars(value.data() + colon + 1, end, port);
        if (error == std::errc() && position == end && port <= 65'535) {
            return {};
        }
    }
    return fmt::format("'{}' is not allowed: expected an IP address and a port, such as 127.0.0.1:8080", value);
}

std::string checkDuration(const std::string &value)
{
    try {
        parseDuration(value);
    } catch (const SettingsError &error) {
        return error.what();
    }
    return {};
}

std::string checkPair(const std::string &value)
{
    const auto equals = value.find('=');
    const bool pair = equals != std::string::npos && equals > 0 && equals + 1 < value.size();
    return pair ? std::string() : fmt::format("'{}' is not allowed: expected FAILURE_DOMAIN=REGION", value);
}

std::string checkName(const std::string &value)
{
    const bool allowed = !value.empty() && value.size() <= 64 && value.find_first_of(" \t\r\n\"") == std::string::npos;
    return allowed ? std::string() : fmt::format("'{}' is not allowed: expected 1 to 64 characters without spaces and quotes", value);
}

/// Values of a setting that is off, on or automatic.
template<typename Mode>
std::map<std::string, Mode> modes()
{
    return {{"off", Mode::Off}, {"on", Mode::On}, {"auto", Mode::Auto}};
}

using Check = std::string (*)(const std::string &);

template<typename Target>
CLI::Option *add(CLI::App &app, const std::string &flag, Target &target, const std::string &variable, const std::string &help, Check check)
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

base::Duration parseDuration(const std::string &text)
{
    const auto unit = text.find_first_not_of("0123456789.");
    double number = 0;
    const auto [position, error] = std::from_chars(text.data(), text.data() + std::min(unit, text.size()), number);
    const std::string suffix = unit == std::string::npos ? std::string() : text.substr(unit);
    const bool wellFormed = error == std::errc() && position == text.data() + std::min(unit, text.size()) && (suffix == "ms" || suffix == "s");
    constexpr double longestSeconds = 1e7; // keeps the count of nanoseconds far below overflow
    const double seconds = suffix == "ms" ? number / 1000 : number;
    if (!wellFormed || seconds > longestSeconds) {
        throw SettingsError(fmt::format("'{}' is not allowed: expected a number and its unit, ms or s, such as 1500ms", text));
    }
    return base::Duration(std::llround(seconds * 1e9));
}

Settings parseSettings(std::span<const std::string> arguments, const std::string &settingsVariable)
{
    Settings settings;
    std::vector<std::string> regions;
    std::string stopGrace = "6s";
    std::string lookupLifetime = "2s";
    std::string retryWindow = "10s";
    std::string leavingBound = "2s";
    std::string quotaWindow = "0s";
    double processorShare = 1;
    double processorSpeed = 1;
    CLI::App app("Entry process of the trefoilstile traffic steering system on a shared platform", "trefoilstile-entry");
    app.set_version_flag("--version", "trefoilstile-entry 0.1.0");
    const char *file = std::getenv(settingsVariable.c_str());
    settings.settingsFile = file == nullptr ? "" : file;
    app.set_config("--settings", settings.settingsFile, "Settings file; its keys are the names of the flags", !settings.settingsFile.empty());
    add(app, "--name", settings.name, "NAME", "Name of this instance", checkName)->required();
    add(app, "--region", settings.region, "REGION", "Region of this instance", checkName)->required();
    add(app, "--failure-domain", settings.failureDomain, "FAILURE_DOMAIN", "Failure domain of this instance", checkName)->required();
    add(app, "--domain-region", regions, "DOMAIN_REGION", "Region of each failure domain, as FAILURE_DOMAIN=REGION", checkPair)->delimiter(',');
    add(app, "--caller-address", settings.callerAddress, "CALLER_ADDRESS", "IP:port for callers", checkAddress)->required();
    add(app, "--lookup-address", settings.lookupAddress, "LOOKUP_ADDRESS", "IP:port for lookups of entry instances", checkAddress)->required();
    add(app, "--readiness-address", settings.readinessAddress, "READINESS_ADDRESS", "IP:port for readiness checks", checkAddress)->required();
    add(app, "--peer-address", settings.peerAddress, "PEER_ADDRESS", "IP:port for other instances", checkAddress)->required();
    add(app, "--metrics-address", settings.metricsAddress, "METRICS_ADDRESS", "IP:port for metrics", checkAddress)->required();
    add(app, "--store-address", settings.storeAddress, "STORE_ADDRESS", "IP:port of the platform's store", checkAddress)->required();
    app.add_option("--memory-megabytes", settings.memoryMegabytes, "Memory limit of the process")->check(CLI::Range(16.0, 1e6));
    app.add_option("--maximum-descriptors", settings.maximumDescriptors, "Descriptor limit of the process")->check(CLI::Range(256, 1'000'000));
    app.add_option("--processor-share", processorShare, "Fraction of a processor that the process may use")->check(CLI::Range(0.001, 1.0));
    app.add_option("--processor-speed", processorSpeed, "Speed of that processor, as a multiple of the usual one")->check(CLI::Range(0.01, 1'000.0));
    app.add_option("--link-megabits", settings.resources.linkMegabits, "Bandwidth of the machine's link in Mbit/s")->check(CLI::Range(0.1, 1e6));
    add(app, "--stop-grace", stopGrace, "STOP_GRACE", "Time between SIGTERM and SIGKILL", checkDuration);
    add(app, "--lookup-lifetime", lookupLifetime, "LOOKUP_LIFETIME", "Time for which callers may cache a lookup result", checkDuration);
    app.add_option("--retry-ratio", settings.retryRatio, "Retries per request, over all instances")->check(CLI::Range(0.0, 1.0));
    add(app, "--retry-window", retryWindow, "RETRY_WINDOW", "Sliding window over which retries are limited", checkDuration);
    app.add_option("--retry-slack", settings.retrySlack, "Retries per window beyond the ratio, over all instances")->check(CLI::Range(0.0, 1e6));
    add(app, "--leaving-bound", leavingBound, "LEAVING_BOUND", "Time after which a leaving upstream gets no more requests", checkDuration);
    app.add_option("--shift-limit", settings.shiftLimit, "Fraction of a region's requests that may move to another region within 2 s")
        ->check(CLI::Range(0.001, 1.0));
    app.add_option("--overload-control", settings.overloadControl, "Services whose requests are refused by their cost to callers: off, on or auto")
        ->transform(CLI::CheckedTransformer(modes<ingress::OverloadMode>()));
    app.add_option("--measured-capacity", settings.measuredCapacity, "Whether lookups weight this instance by what its requests need: off, on or auto")
        ->transform(CLI::CheckedTransformer(modes<ingress::CapacityMode>()));
    app.add_option("--upstream-body-bytes", settings.upstreamBodyBytes, "Bytes of request bodies in flight at one upstream, over all instances; 0: no limit")
        ->check(CLI::Range(0.0, 1e15));
    add(app, "--quota-window", quotaWindow, "QUOTA_WINDOW", "Sliding window of the quotas of accounts; 0s: quotas are not enforced", checkDuration);
    app.add_option("--quota-overshoot", settings.quotaOvershoot, "Fraction by which all instances together may exceed a quota")
        ->envname("TREFOILSTILE_QUOTA_OVERSHOOT")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--quota-slack", settings.quotaSlack, "Requests per window by which all instances together may exceed a quota in addition")
        ->envname("TREFOILSTILE_QUOTA_SLACK")
        ->check(CLI::Range(0.0, 1e6));
    app.add_option("--first-start", settings.firstStart, "Whether the whole system starts for the first time: true or false");
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
    for (const std::string &pair : regions) {
        const auto equals = pair.find('=');
        settings.regions.insert_or_assign(pair.substr(0, equals), pair.substr(equals + 1));
    }
    settings.regions.insert_or_assign(settings.failureDomain, settings.region);
    settings.stopGrace = parseDuration(stopGrace);
    settings.lookupLifetime = parseDuration(lookupLifetime);
    settings.retryWindow = parseDuration(retryWindow);
    settings.leavingBound = parseDuration(leavingBound);
    settings.quotaWindow = parseDuration(quotaWindow);
    settings.resources.processors = processorShare * processorSpeed;
    if (settings.retryWindow < std::chrono::milliseconds(100)) {
        throw SettingsError(fmt::format("--retry-window: '{}' is not allowed: expected at least 100ms", retryWindow));
    }
    if (settings.quotaWindow != base::Duration::zero() && settings.quotaWindow < std::chrono::seconds(1)) {
        throw SettingsError(fmt::format("--quota-window: '{}' is not allowed: expected 0s or at least 1s", quotaWindow));
    }
    return settings;
}

} // namespace trefoilstile::proxy
