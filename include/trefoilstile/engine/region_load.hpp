// Load of the own region as reported by its upstreams. The capacity advertisement of the region is based on it.
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

    /// Capacity of the region in requests/s according to the document.
    double capacity() const;

    /// Fraction of the region's slots in use, 0 or more. Nothing while less than half of the slots have a fresh report:
    /// missing reports mean neither no load nor full load.
    std::optional<double> utilization(base::TimePoint now) const;

private:
    struct Report {
        std::uint32_t slots{}; ///< according to the document
        std::uint32_t busy{}; ///< requests in service and queued
        std::optional<base::TimePoint> receivedAt;
    };

    std::string m_region;
    double m_capacity = 0;
    std::map<std::string, Report, std::less<>> m_reports; // by upstream; only upstreams of the region
};

} // namespace trefoilstile::engine
