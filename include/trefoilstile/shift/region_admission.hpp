// Receiver-side limit: an instance admits at most its part of the region's capacity, whatever rate the senders assume.
#pragma once

#include "trefoilstile/shift/quota_account.hpp"

namespace trefoilstile::shift
{

/// Admission of requests from other regions, by a sliding window. The least urgent class is refused first: bulk work
/// leaves the reserves of interactive and urgent work free, interactive work that of urgent work.
class RegionAdmission
{
public:
    explicit RegionAdmission(const ShiftOptions &options = {});

    /// `capacity` is that of the region in requests/s; `localLoad` is the measured load of the region's own callers in
    /// requests/s; `instances` is the number of admitting instances of the region. The limit is this instance's equal
    /// part of the remaining capacity.
    void setCapacity(double capacity, double localLoad, std::uint32_t instances);

    /// Admits one request. If it returns false, the request was refused and has not run.
    bool tryAdmit(base::PriorityClass priorityClass, base::TimePoint now);

private:
    base::Duration m_window;
    Units m_limit = 0;
    QuotaAccount m_account;
};

} // namespace trefoilstile::shift
