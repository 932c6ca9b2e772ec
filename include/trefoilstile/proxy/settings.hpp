// Settings of the entry process: from a settings file, environment variables and flags, the last one first.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/instance_capacity.hpp"

namespace trefoilstile::proxy
{

struct Settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::map<std::string, std::string, std::less<>> regions; ///< region of each failure domain
    std::string callerAddress; ///< `IP:port`, like those below
    std::string lookupAddress; ///< callers ask here which instances to use
    std::string readinessAddress;
    std::string peerAddress; ///< other instances, UDP and TCP
    std::string metricsAddress;
    std::string storeAddress;
    double memoryMegabytes = 256; ///< limit of the process
    std::size_t maximumDescriptors = 4'096; ///< limit of the process
    ingress::InstanceResources resources; ///< limits of the machine
    base::Duration stopGrace{}; ///< between SIGTERM and the kill
    base::Duration lookupLifetime{}; ///< for which callers keep an answer
    double retryRatio = 0.2; ///< retries per request, over all instances
    base::Duration retryWindow{};
    double retrySlack = 0; ///< retries per window beyond the ratio, over all instances
    base::Duration leavingBound = std::chrono::seconds(2); ///< after which an upstream that is reported as leaving or gone gets no request
    double shiftLimit = 0.15; ///< part of the requests of a region that may change region within 2 s
    std::string settingsFile; ///< where the settings were read; empty: none
};

/// Unusable settings; the message names the key, the value and what is allowed.
class SettingsError : public base::Error
{
public:
    using base::Error::Error;
};

/// Help or version was asked for; the message is the text to print.
class HelpRequested : public base::Error
{
public:
    using base::Error::Error;
};

/// @param arguments without the name of the program
/// @param settingsVariable environment variable that names the settings file if no flag does
Settings parseSettings(std::span<const std::string> arguments, const std::string &settingsVariable);

/// Span from a number and its unit, `ms` or `s`, such as `1500ms` or `2.5s`. Throws `SettingsError` if it is malformed.
base::Duration parseDuration(const std::string &text);

} // namespace trefoilstile::proxy
