// Look-ups within a document.

#include "trefoilstile/document/steering_document.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::document
{

const std::string *addressIn(const Upstream &upstream, std::string_view environment)
{
    auto address = upstream.addresses.find(environment);
    if (address == upstream.addresses.end()) {
        address = upstream.addresses.find("*");
    }
    return address == upstream.addresses.end() ? nullptr : &address->second;
}

const Region &SteeringDocument::regionOf(std::string_view failureDomain) const
{
    for (const Region &region : regions) {
        for (const FailureDomain &domain : region.failureDomains) {
            if (domain.name == failureDomain) {
                return region;
            }
        }
    }
    throw base::Error(fmt::format("the failure domain '{}' is not in the document", failureDomain));
}

const Service *SteeringDocument::findService(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [name](const Service &service) {
        return service.name == name;
    });
    return found == services.end() ? nullptr : &*found;
}

} // namespace trefoilstile::document
