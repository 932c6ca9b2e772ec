// Upstream of the policy benchmark: slots, a short queue, cold caches, faults, and load reports that lag or mislead.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "scenario.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::bench
{

enum class UpstreamFault : std::uint8_t { None, Refuses, Hangs };

/// How the load endpoint departs from the truth.
enum class ReportFault : std::uint8_t { None, AlwaysIdle, AlwaysFull };

struct FakeUpstream {
    std::string name;
    std::uint32_t domain{};
    std::uint32_t slots{};
    base::PerClass<std::uint32_t> busy; // the sum is at most `slots`
    std::deque<std::uint64_t> waiting; // attempts; at most 2 * slots
    UpstreamFault fault = UpstreamFault::None;
    ReportFault reportFault = ReportFault::None;
    double slowness = 1.0; ///< factor on service times
    base::IncarnationId incarnation{1};
    std::optional<base::TimePoint> coldSince;
    std::uint32_t servedCold{}; ///< requests since then; the cache fills with them
    std::optional<base::TimePoint> drainedAt;
    std::deque<std::pair<base::TimePoint, engine::LoadReported>> history; ///< states of the last seconds, oldest first

    std::uint32_t busyTotal() const
    {
        return busy.values[0] + busy.values[1] + busy.values[2];
    }

    bool full() const
    {
        return busyTotal() >= slots;
    }

    /// Factor on service times now: four times as long with an empty cache, down to normal after 400 requests.
    double factor() const
    {
        constexpr double emptyCache = 4.0;
        constexpr double requestsToFill = 400.0;
        const double filled = coldSince ? std::min(1.0, servedCold / requestsToFill) : 1.0;
        return slowness * (emptyCache + (1.0 - emptyCache) * filled);
    }

    engine::LoadReported report(base::TimePoint now) const
    {
        engine::LoadReported result{name, incarnation, engine::UpstreamState::Live, slots, busyTotal(), static_cast<std::uint32_t>(waiting.size())};
        if (drainedAt && now >= *drainedAt + std::chrono::seconds(1)) {
            result.state = engine::UpstreamState::Leaving;
        } else if (coldSince && servedCold < 400) {
            result.state = engine::UpstreamState::Cold;
        }
        if (reportFault != ReportFault::None) {
            result.busy = reportFault == ReportFault::AlwaysFull ? slots : 0;
            result.queued = reportFault == ReportFault::AlwaysFull ? slots : 0;
        }
        return result;
    }
};

} // namespace trefoilstile::bench
