// Reads what this process uses of its machine, for the measured capacity.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/http/request_reader.hpp"
#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// Processor time of this process since its start, or nothing if it cannot be read.
std::optional<base::Duration> processorTime();

/// Advances `EntryCore::measuredRequests`.
class CapacityMeter
{
public:
    using Clock = std::function<std::optional<base::Duration>()>;

    explicit CapacityMeter(EntryCore &core, Clock clock = processorTime);

    /// Periodic work. Call several times per second.
    /// @param requestBodies memory for bodies of requests
    void tick(const http::BodyBudget &requestBodies, base::TimePoint now);

    /// Metrics: the capacity, the resource that limits it, whether it is measured, and the bytes of requests.
    void setGauges();

private:
    bool inEffect() const;
    ingress::ResourceUse use(const http::BodyBudget &requestBodies, base::TimePoint now);
    /// Logs when the processor clock can no longer be read, and when it can be read again.
    void logClock(bool readable, base::TimePoint now);
    std::size_t upstreamConnections() const;

    /// Counting connections visits all upstreams, which takes longer than the rest of an update.
    static constexpr base::Duration s_countPeriod = std::chrono::seconds(1);

    EntryCore &m_core;
    Clock m_clock;
    bool m_clockReadable = true;
    std::size_t m_upstreamConnections{};
    base::TimePoint m_nextCount;
};

} // namespace trefoilstile::proxy
