// Per-machine settings of one entry instance. All other configuration is in the steering document.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::daemon
{

struct Settings {
    std::string name; ///< unique among the instances of the environment
    std::string region;
    std::string failureDomain;
    std::string environment; ///< such as `trial` or `production`
    std::string callerAddress; ///< `IP:port` to listen on and to return in lookup responses; port 0 selects a free port
    std::string peerAddress; ///< `IP:port` for UDP and TCP
    std::string operatorAddress; ///< `IP:port`
    std::string platformAddress; ///< `IP:port`
    std::vector<std::string> seeds; ///< peer addresses of some other instances
    std::string macKey; ///< shared by the instances of the environment; at least 16 bytes
};

/// Invalid settings; `what()` is one line with the flag, the value (except for secrets) and the allowed values.
class SettingsError : public base::Error
{
public:
    using base::Error::Error;
};

/// The help or version text was requested; `what()` is that text.
class HelpRequested : public base::Error
{
public:
    using base::Error::Error;
};

/// Reads settings from the arguments; those not given are read from the environment variables `TREFOILSTILE_*`.
/// @param arguments without the program name
/// @throws SettingsError, HelpRequested
Settings parseSettings(std::span<const std::string> arguments);

} // namespace trefoilstile::daemon
