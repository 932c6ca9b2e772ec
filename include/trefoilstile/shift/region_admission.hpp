// The receiver's own limit: whatever senders believe, an instance admits no more than its part of the region's capacity.
#pragma once

#include "trefoilstile/shift/quota_account.hpp"

namespace trefoilstile::shift
{

/// Admission of work that comes from other regions, by a sliding window. The least urgent class is refused first: bulk
/// leaves the reserves of interactive and urgent work free, interactive that of urgent work.
class RegionAdmission
{
public:
    explicit RegionAdmission(const ShiftOptions &options = {});

    /// `capacity` of the region in requests/s; `localLoad` is what the region's own callers use of it, as measured;
    /// `instances` is the number of instances of the region that admit. The limit is the part of the remaining capacity.
    void setCapacity(double capacity, double localLoad, std::uint32_t instances);

    /// Admits one request, or refuses it; a refused one has not run.
    bool tryAdmit(base::PriorityClass priorityClass, base::TimePoint now);

private:
    base::Duration m_window;
    Units m_limit = 0;
    QuotaAccount m_account;
};

} // namespace trefoilstile::shift
