// Load of the own region as its upstreams report it; the source of its capacity advertisement.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::engine
{

class RegionLoad
{
public:
    explicit RegionLoad(std::string region);

    void adopt(const document::SteeringDocument &document);
    void record(const LoadReported &report, base::TimePoint now);

    /// Capacity of the region in requests/s, by the document.
    double capacity() const;

    /// Part of the region's slots in use, 0 or more; nothing while reports of less than half of the slots are fresh,
    /// since no news means neither no load nor full load.
    std::optional<double> utilization(base::TimePoint now) const;

private:
    struct Report {
        std::uint32_t slots{}; ///< by the document
        std::uint32_t busy{}; ///< requests served and queued
        std::optional<base::TimePoint> at;
    };

    std::string m_region;
    double m_capacity = 0;
    std::map<std::string, Report, std::less<>> m_reports; // by upstream; upstreams of the region only
};

} // namespace trefoilstile::engine
