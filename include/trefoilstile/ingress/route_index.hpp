// Finds the route of a request by host and longest path prefix, and splits its requests over the services of the route.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/home_regions.hpp"

namespace trefoilstile::ingress
{

/// Splits the requests of a route over its services in proportion to the weights, by smooth weighted round robin: the service
/// that is furthest below its share is next. The proportions are therefore accurate after a few requests already.
class ShareRotation
{
public:
    explicit ShareRotation(const std::vector<ServiceShare> &shares);

    /// Chooses the service of the next request. Returns an index into the shares of the route.
    std::size_t next();

private:
    std::vector<double> m_weights;
    std::vector<double> m_credits; ///< sum is 0 between calls
    double m_total{};
};

/// Hash of an object for the choice of an upstream. Objects of different routes are independent.
std::uint64_t objectHash(const Route &route, std::string_view objectKey);

/// A route with the state that the instance keeps for it.
struct IndexedRoute {
    explicit IndexedRoute(Route description)
        : route(std::move(description))
        , rotation(route.shares)
    {
    }

    Route route;
    ShareRotation rotation;
};

/// Index of the routes of one configuration.
class RouteIndex
{
public:
    explicit RouteIndex(const Configuration &configuration);

    /// Returns the route of the host with the longest prefix that matches the path, or null.
    /// @param host lower case, without port
    std::shared_ptr<IndexedRoute> find(std::string_view host, std::string_view path) const;

    /// Regions in which all routes of the host, and all accounts, may be served; none if the host is not known.
    /// @param host lower case, without port
    HomeRegions homes(std::string_view host) const;

private:
    using ByPrefix = std::map<std::string, std::shared_ptr<IndexedRoute>, std::less<>>;
    std::map<std::string, ByPrefix, std::less<>> m_hosts;
    std::map<std::string, HomeRegions, std::less<>> m_homes; ///< by host
};

} // namespace trefoilstile::ingress
