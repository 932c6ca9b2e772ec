// Routes, services and limits in effect at an entry instance, as the operator's configuration gives them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Part of a route's requests that one service gets.
struct ServiceShare {
    std::string service;
    double weight = 1; ///< in proportion to the other shares of the route; positive

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

struct Route {
    std::string name;
    std::string host; ///< lower case, without port
    std::string prefix; ///< begins and ends with a slash
    bool idempotent = false; ///< may run more than once
    base::Duration timeout{}; ///< a response is due after this time at the latest
    base::Duration latencyObjective{}; ///< responses after this time are worth little
    std::uint32_t priority{}; ///< 0 is the most urgent
    std::uint32_t maximumAttempts = 1; ///< upstreams that one request may be sent to
    std::vector<ServiceShare> shares; ///< not empty
    std::vector<std::string> homeRegions; ///< regions that may serve the route; empty: all
};

struct Service {
    std::string name;
    std::uint32_t maximumConnections{}; ///< of one upstream, from all instances together
    base::Duration warmUp{}; ///< how long an upstream stays cold after its start
    double warmUpRequestsPerSecond{}; ///< what a cold upstream bears from all instances together
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint64_t headBytes = 16'384;
    std::uint64_t bodyBytes = 1U << 20U;
    base::Duration headTimeout = std::chrono::seconds(3);
    base::Duration idleTimeout = std::chrono::seconds(15);
};

struct Configuration {
    std::uint64_t version{}; ///< rises with each change; 0: none
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    CallerLimits limits;
};

} // namespace trefoilstile::ingress
