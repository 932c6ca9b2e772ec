// Configurations and entries of a small deployment, in the format of the users' pages.
#pragma once

#include <string>
#include <vector>

namespace review
{

struct Route {
    std::string name;
    std::string prefix;
    std::string kind; ///< safe, unsafe or download
    std::string timeout;
    std::string service;
};

/// Text of a configuration with the routes on one host.
std::string configuration(int version, const std::vector<Route> &routes, const std::vector<std::string> &services);

} // namespace review
