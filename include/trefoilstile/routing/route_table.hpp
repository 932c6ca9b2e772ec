// Finds the service and route of a request by host, path and method.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::routing
{

/// Place of a route in the document.
struct RouteMatch {
    std::size_t service{}; ///< index into `SteeringDocument::services`
    std::size_t route{}; ///< index into `Service::routes`
};

/// True if the path has one reading only: it starts with `/` and has no empty or dot segments, no percent-encoded
/// characters that need no encoding, no encoded slash and no backslash. Other paths could be read as a different
/// resource by the upstream than by the route table, and so be retried although they are not idempotent.
bool isCanonicalPath(std::string_view path);

/// Routes of all services; refers to the document, which must outlive it.
class RouteTable
{
public:
    explicit RouteTable(const document::SteeringDocument &document);

    /// The service's route with the longest matching prefix, or nothing. A prefix matches whole path segments.
    /// @param host lower case, without port
    /// @param path canonical, without query
    std::optional<RouteMatch> match(std::string_view host, std::string_view path, std::string_view method) const;

private:
    const document::SteeringDocument *m_document;
    std::unordered_map<std::string_view, std::size_t> m_serviceByHost;
    std::vector<std::vector<std::size_t>> m_routeOrder; // for each service: route indices, longest prefix first
};

} // namespace trefoilstile::routing
