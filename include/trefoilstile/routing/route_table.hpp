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

/// Position of a route in the document.
struct RouteMatch {
    std::size_t service{}; ///< index into `SteeringDocument::services`
    std::size_t route{}; ///< index into `Service::routes`
};

/// True if the path is unambiguous: it starts with `/`, has no dot segments and no empty segments except the last, no
/// percent-encoded characters that need no encoding, no encoded NUL, slash or backslash, and no plain backslash, space,
/// control character or non-ASCII byte. The upstream could resolve other paths to a different resource than the route
/// table, so that requests that are not idempotent would be retried.
bool isCanonicalPath(std::string_view path);

/// Routes of all services. Keeps a reference to the document, which must outlive the table.
class RouteTable
{
public:
    explicit RouteTable(const document::SteeringDocument &document);

    /// Finds the route of the host's service with the longest matching prefix; nothing if no service or route matches. A
    /// prefix matches whole path segments only.
    /// @param host lower case, without port
    /// @param path canonical, without query
    std::optional<RouteMatch> match(std::string_view host, std::string_view path, std::string_view method) const;

private:
    const document::SteeringDocument *m_document;
    std::unordered_map<std::string_view, std::size_t> m_serviceByHost;
    std::vector<std::vector<std::size_t>> m_routeOrder; // for each service: route indices, longest prefix first
};

} // namespace trefoilstile::routing
