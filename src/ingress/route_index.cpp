// Route lookup and the weighted split of a route's requests.

#include "trefoilstile/ingress/route_index.hpp"

#include <algorithm>
#include <numeric>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::ingress
{

ShareRotation::ShareRotation(const std::vector<ServiceShare> &shares)
    : m_credits(shares.size())
{
    m_weights.reserve(shares.size());
    for (const ServiceShare &share : shares) {
        m_weights.push_back(share.weight);
    }
    m_total = std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
}

std::size_t ShareRotation::next()
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < m_credits.size(); ++i) {
        m_credits[i] += m_weights[i];
        if (m_credits[i] > m_credits[chosen]) {
            chosen = i;
        }
    }
    m_credits[chosen] -= m_total;
    return chosen;
}

std::uint64_t objectHash(const Route &route, std::string_view objectKey)
{
    return base::stableHash(objectKey, base::stableHash(route.prefix));
}

RouteIndex::RouteIndex(const Configuration &configuration)
{
    HomeRegions accountHomes;
    for (const Account &account : configuration.accounts) {
        accountHomes.limitTo(account.homeRegions);
    }
    for (const Route &route : configuration.routes) {
        m_hosts[route.host].insert_or_assign(route.prefix, std::make_shared<IndexedRoute>(route));
        m_homes.try_emplace(route.host, accountHomes).first->second.limitTo(route.homeRegions);
    }
}

HomeRegions RouteIndex::homes(std::string_view host) const
{
    const auto found = m_homes.find(host);
    return found == m_homes.end() ? HomeRegions::none() : found->second;
}

std::shared_ptr<IndexedRoute> RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_hosts.find(host);
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path that end with one of its slashes can match.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        if (const auto found = routes->second.find(path.substr(0, end + 1)); found != routes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

} // namespace trefoilstile::ingress
