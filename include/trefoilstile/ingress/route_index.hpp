// Finds the route of a request: by host, then by the longest prefix of the path.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/ingress/configuration.hpp"

namespace trefoilstile::ingress
{

/// Splits the requests of a route over its services in exact proportion to the weights, so that a share is right after
/// a few requests already. Smooth weighted round robin: the service that is furthest behind its share comes next.
class ShareRotation
{
public:
    explicit ShareRotation(const std::vector<ServiceShare> &shares);

    /// Index into the shares of the route.
    std::size_t next();

private:
    std::vector<double> m_weights;
    std::vector<double> m_credits; ///< sum is 0 between calls
    double m_total{};
};

/// A route with what the instance keeps for it.
struct IndexedRoute {
    explicit IndexedRoute(Route description)
        : route(std::move(description))
        , rotation(route.shares)
    {
    }

    Route route;
    ShareRotation rotation;
};

/// Routes of one configuration.
class RouteIndex
{
public:
    explicit RouteIndex(const Configuration &configuration);

    /// Route of the host whose prefix is the longest that begins the path, or null.
    /// @param host lower case, without port
    std::shared_ptr<IndexedRoute> find(std::string_view host, std::string_view path) const;

private:
    using ByPrefix = std::map<std::string, std::shared_ptr<IndexedRoute>, std::less<>>;
    std::map<std::string, ByPrefix, std::less<>> m_hosts;
};

} // namespace trefoilstile::ingress
