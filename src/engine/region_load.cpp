// Capacity and utilization of the region from the document and the latest load reports.

#include "trefoilstile/engine/region_load.hpp"

#include <utility>

namespace trefoilstile::engine
{

namespace
{

/// Age up to which a report is used. Reports lag by up to 5 s in normal operation and are polled each second.
constexpr base::Duration s_maximumReportAge = std::chrono::seconds(7);

/// Fraction of the slots that fresh reports have to cover.
constexpr double s_minimumKnownFraction = 0.5;

} // namespace

RegionLoad::RegionLoad(std::string region)
    : m_region(std::move(region))
{
}

void RegionLoad::adopt(const document::SteeringDocument &document)
{
    std::map<std::string, Report, std::less<>> reports;
    for (const document::Service &service : document.services) {
        for (const document::Upstream &upstream : service.upstreams) {
            if (document.regionOf(upstream.failureDomain).name != m_region) {
                continue;
            }
            const auto known = m_reports.find(upstream.name);
            Report &report = reports[upstream.name];
            report = known == m_reports.end() ? Report{} : known->second;
            report.slots = upstream.slots;
        }
    }
    m_reports = std::move(reports);
    m_capacity = 0;
    for (const document::Region &region : document.regions) {
        m_capacity += region.name == m_region ? region.capacity : 0;
    }
}

void RegionLoad::record(const LoadReported &report, base::TimePoint now)
{
    const auto known = m_reports.find(report.upstream);
    if (known != m_reports.end()) {
        known->second.busy = report.busy + report.queued;
        known->second.receivedAt = now;
    }
}

double RegionLoad::capacity() const
{
    return m_capacity;
}

std::optional<double> RegionLoad::utilization(base::TimePoint now) const
{
    double all = 0;
    double known = 0;
    double busy = 0;
    for (const auto &[name, report] : m_reports) {
        all += report.slots;
        if (report.receivedAt && now - *report.receivedAt <= s_maximumReportAge) {
            known += report.slots;
            busy += report.busy;
        }
    }
    if (known <= 0 || known < s_minimumKnownFraction * all) {
        return std::nullopt;
    }
    return busy / known;
}

} // namespace trefoilstile::engine
