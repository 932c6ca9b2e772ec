// Receiver-side limit on requests from other regions.

#include "trefoilstile/shift/region_admission.hpp"

#include <algorithm>

namespace trefoilstile::shift
{

RegionAdmission::RegionAdmission(const ShiftOptions &options)
    : m_window(options.window)
    , m_account(options, s_unitsPerRequest)
{
}

void RegionAdmission::setCapacity(double capacity, double localLoad, std::uint32_t instances)
{
    const double part = std::max(0.0, capacity - localLoad) / std::max(instances, 1U) * base::toSeconds(m_window);
    m_limit = static_cast<Units>(part * static_cast<double>(s_unitsPerRequest));
}

bool RegionAdmission::tryAdmit(base::PriorityClass priorityClass, base::TimePoint now)
{
    if (m_account.available(priorityClass, m_limit, now) < s_unitsPerRequest) {
        return false;
    }
    m_account.use(priorityClass, s_unitsPerRequest, now);
    return true;
}

} // namespace trefoilstile::shift
