// Look-ups within a document.

#include "trefoilstile/document/steering_document.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::document
{

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
