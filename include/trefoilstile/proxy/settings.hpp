// Settings of the entry process, from flags, environment variables and a settings file, in this order of precedence.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/instance_capacity.hpp"
#include "trefoilstile/ingress/measured_requests.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::proxy
{

struct Settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::map<std::string, std::string, std::less<>> regions; ///< region of each failure domain
    std::string callerAddress; ///< `IP:port`, like those below
    std::string lookupAddress; ///< serves lookups: which entry instances callers should use
    std::string readinessAddress;
    std::string peerAddress; ///< for other instances, UDP and TCP
    std::string metricsAddress;
    std::string storeAddress;
    double memoryMegabytes = 256; ///< memory limit of the process, in MB
    std::size_t maximumDescriptors = 4'096; ///< descriptor limit of the process
    ingress::InstanceResources resources; ///< processor and link capacity available to the process
    base::Duration stopGrace{}; ///< time between SIGTERM and SIGKILL
    base::Duration lookupLifetime{}; ///< time for which callers may cache a lookup result
    double retryRatio = 0.2; ///< retries per request, over all instances
    base::Duration retryWindow{}; ///< sliding window over which retries are limited; at least 100 ms
    double retrySlack = 0; ///< retries per window beyond the ratio, over all instances
    base::Duration leavingBound = std::chrono::seconds(2); ///< time after which an upstream that was reported as draining or removed gets no requests
    double shiftLimit = 0.15; ///< fraction of a region's requests that may move to another region within 2 s
    ingress::OverloadMode overloadControl = ingress::OverloadMode::Auto; ///< services under overload control
    ingress::CapacityMode measuredCapacity = ingress::CapacityMode::Off; ///< whether lookups weight this instance by its measured capacity
    std::uint64_t upstreamBodyBytes{}; ///< bytes of request bodies in flight at one upstream, over all instances; 0: no limit
    base::Duration quotaWindow{}; ///< sliding window of the quotas of accounts; 0: quotas are not enforced
    double quotaOvershoot = 0; ///< fraction by which all instances together may exceed a quota
    double quotaSlack = 0; ///< requests per window by which all instances together may exceed a quota in addition
    bool firstStart = false; ///< the whole system starts for the first time, so that no caller waits for it
    std::string settingsFile; ///< path of the file that was read; empty: none
};

/// Invalid settings; the message names the flag, the value and what is allowed.
class SettingsError : public base::Error
{
public:
    using base::Error::Error;
};

/// `--help` or `--version` was given; the message is the text to print.
class HelpRequested : public base::Error
{
public:
    using base::Error::Error;
};

/// Parses and checks all settings. Throws `SettingsError` or `HelpRequested`.
/// @param arguments command line without the program name
/// @param settingsVariable environment variable with the path of the settings file, used if `--settings` is not given
Settings parseSettings(std::span<const std::string> arguments, const std::string &settingsVariable);

/// Parses a duration: a number and its unit, `ms` or `s`, such as `1500ms` or `2.5s`. Throws `SettingsError` if it is malformed
/// or longer than 1e7 s.
base::Duration parseDuration(const std::string &text);

} // namespace trefoilstile::proxy
