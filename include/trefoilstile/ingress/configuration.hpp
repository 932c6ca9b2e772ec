// Routes, services, client accounts and caller limits that the operator configures for an entry instance.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Share of a route's requests that is sent to one service.
struct ServiceShare {
    std::string service;
    double weight = 1; ///< relative to the other shares of the route; positive

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// Whether requests on a route need the API key of a client account.
enum class RouteAccess : std::uint8_t {
    Unspecified, ///< the route does not say; see `AccountIndex::requiresAccount`
    Public,
    Account,
};

struct Route {
    std::string name;
    std::string host; ///< lower case, without port
    std::string prefix; ///< path prefix; begins and ends with a slash
    bool idempotent = false; ///< a request may be executed more than once
    base::Duration timeout{}; ///< maximum time from the arrival of a request to its response
    base::Duration latencyObjective{}; ///< target response time; later responses are of little use to the caller
    std::uint32_t priority{}; ///< 0 is the most urgent
    std::uint32_t maximumAttempts = 1; ///< maximum number of upstreams that one request is sent to
    std::vector<ServiceShare> shares; ///< must not be empty
    std::vector<std::string> homeRegions; ///< regions that may serve the route; empty means all
    RouteAccess access = RouteAccess::Unspecified;
    bool largeBodies = false; ///< requests have large bodies
};

/// SHA-256 digest of an API key.
using KeyDigest = std::array<std::uint8_t, 32>;

/// A customer whose callers identify themselves by API keys.
struct Account {
    std::string name;
    std::vector<KeyDigest> keys;
    std::uint32_t priority{}; ///< 0 is the most urgent; compared before the priority of the route
    double requestsPerSecond{}; ///< quota over all instances; 0 means no quota
    double burst{}; ///< requests beyond the rate, in each quota window
    std::vector<std::string> homeRegions; ///< regions that may serve the account; empty means all
};

struct Service {
    std::string name;
    std::uint32_t maximumConnections{}; ///< maximum number of connections to one upstream, over all instances
    base::Duration warmUp{}; ///< duration of the warm-up of an upstream after its start
    double warmUpRequestsPerSecond{}; ///< rate limit of an upstream during warm-up, over all instances
};

/// Size limits and timeouts for the requests of callers.
struct CallerLimits {
    std::uint64_t headBytes = 16'384;
    std::uint64_t bodyBytes = 1U << 20U;
    base::Duration headTimeout = std::chrono::seconds(3);
    base::Duration idleTimeout = std::chrono::seconds(15);
};

struct Configuration {
    std::uint64_t version{}; ///< increases with each change; 0 means no configuration
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    std::vector<Account> accounts;
    CallerLimits limits;
    /// Entries that could not be read, each as its path and the error. The other entries are in effect.
    std::vector<std::string> unreadable;

    /// True if requests of some route have large bodies. What saves their transfer is in effect only then.
    bool expectsLargeBodies() const
    {
        return std::any_of(routes.begin(), routes.end(), [](const Route &route) {
            return route.largeBodies;
        });
    }
};

} // namespace trefoilstile::ingress
