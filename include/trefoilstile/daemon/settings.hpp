// Settings of one entry instance: what differs by machine. Everything else is in the steering document.
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
    std::string callerAddress; ///< `IP:port` to listen at and to name in lookup responses; port 0 chooses a free one
    std::string peerAddress; ///< `IP:port` for UDP and TCP
    std::string operatorAddress; ///< `IP:port`
    std::string platformAddress; ///< `IP:port`
    std::vector<std::string> seeds; ///< peer addresses of some other instances
    std::string macKey; ///< shared by the instances of the environment; at least 16 bytes
};

/// Thrown for settings that are not accepted; `what()` is one line that names the flag, the value and what is allowed.
class SettingsError : public base::Error
{
public:
    using base::Error::Error;
};

/// Thrown if only the help or version text was asked for; `what()` is the text.
class HelpRequested : public base::Error
{
public:
    using base::Error::Error;
};

/// Reads settings from the arguments and, for those not given, from the variables `TREFOILSTILE_*`.
/// @param arguments without the program's name
/// @throws SettingsError, HelpRequested
Settings parseSettings(std::span<const std::string> arguments);

} // namespace trefoilstile::daemon
