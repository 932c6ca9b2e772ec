// Finds routes and checks that paths are canonical.

#include "trefoilstile/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <numeric>

namespace trefoilstile::routing
{

namespace
{

bool isUnreserved(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '-' || character == '.' || character == '_' || character == '~';
}

/// True if the three characters at `position` are a percent-encoding of a character that must be encoded and is not NUL, a
/// slash or a backslash.
bool isRequiredEncoding(std::string_view path, std::size_t position)
{
    unsigned value = 0;
    const std::string_view digits = path.substr(position + 1, 2);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const bool complete = digits.size() == 2 && error == std::errc() && end == digits.data() + digits.size();
    return complete && value != 0 && value != '/' && value != '\\' && !isUnreserved(static_cast<unsigned char>(value));
}

bool prefixMatches(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool methodMatches(const document::Route &route, std::string_view method)
{
    return route.methods.empty() || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

} // namespace

bool isCanonicalPath(std::string_view path)
{
    if (!path.starts_with('/')) {
        return false;
    }
    for (std::size_t i = 0; i < path.size(); ++i) {
        const char character = path[i];
        if (character == '\\' || static_cast<unsigned char>(character) <= ' ' || static_cast<unsigned char>(character) >= 0x7f) {
            return false;
        }
        if (character == '%' && !isRequiredEncoding(path, i)) {
            return false;
        }
        if (character == '/') {
            const std::size_t end = std::min(path.find('/', i + 1), path.size());
            const std::string_view segment = path.substr(i + 1, end - i - 1);
            const bool last = end == path.size();
            if (segment == "." || segment == ".." || (segment.empty() && !last)) {
                return false;
            }
        }
    }
    return true;
}

RouteTable::RouteTable(const document::SteeringDocument &document)
    : m_document(&document)
{
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const document::Service &service = document.services[i];
        for (const std::string &host : service.hosts) {
            m_serviceByHost.emplace(host, i);
        }
        std::vector<std::size_t> order(service.routes.size());
        std::iota(order.begin(), order.end(), 0);
        std::stable_sort(order.begin(), order.end(), [&service](std::size_t left, std::size_t right) {
            return service.routes[left].pathPrefix.size() > service.routes[right].pathPrefix.size();
        });
        m_routeOrder.push_back(std::move(order));
    }
}

std::optional<RouteMatch> RouteTable::match(std::string_view host, std::string_view path, std::string_view method) const
{
    const auto service = m_serviceByHost.find(host);
    if (service == m_serviceByHost.end()) {
        return std::nullopt;
    }
    for (const std::size_t index : m_routeOrder[service->second]) {
        const document::Route &route = m_document->services[service->second].routes[index];
        if (prefixMatches(path, route.pathPrefix) && methodMatches(route, method)) {
            return RouteMatch{service->second, index};
        }
    }
    return std::nullopt;
}

} // namespace trefoilstile::routing
