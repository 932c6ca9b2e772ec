// Processor time, body budgets and descriptors of this process.

#include "trefoilstile/proxy/capacity_meter.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

#include "trefoilstile/proxy/caller_listener.hpp"

namespace trefoilstile::proxy
{

namespace
{

double heldFraction(const http::BodyBudget &budget)
{
    return budget.limit == 0 ? 0.0 : static_cast<double>(budget.held) / static_cast<double>(budget.limit);
}

} // namespace

std::optional<base::Duration> processorTime()
{
    timespec time{};
    if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time) != 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

CapacityMeter::CapacityMeter(EntryCore &core, Clock clock)
    : m_core(core)
    , m_clock(std::move(clock))
{
}

void CapacityMeter::tick(const http::BodyBudget &requestBodies, base::TimePoint now)
{
    if (m_core.settings.measuredCapacity != ingress::CapacityMode::Off) {
        m_core.measuredRequests.advance(use(requestBodies, now), inEffect(), now);
    }
}

bool CapacityMeter::inEffect() const
{
    const bool automatic = !m_core.configuration.accounts.empty() || m_core.upstreamTable.speedsReported();
    return m_core.settings.measuredCapacity == ingress::CapacityMode::On || automatic;
}

ingress::ResourceUse CapacityMeter::use(const http::BodyBudget &requestBodies, base::TimePoint now)
{
    if (now >= m_nextCount) {
        m_nextCount = now + s_countPeriod;
        m_upstreamConnections = upstreamConnections();
    }
    ingress::ResourceUse use;
    use.processorTime = m_clock();
    logClock(use.processorTime.has_value(), now);
    use.memoryFraction = std::max(heldFraction(requestBodies), heldFraction(*m_core.responseBudget));
    const auto descriptors = static_cast<double>(m_core.settings.maximumDescriptors);
    const auto callers = static_cast<double>(m_core.sessions);
    const auto all = callers + static_cast<double>(m_upstreamConnections);
    use.descriptorFraction = std::max(callers / (descriptors * s_callerDescriptorShare), all / descriptors);
    use.idle = m_core.requests == 0 && requestBodies.held == 0;
    return use;
}

void CapacityMeter::logClock(bool readable, base::TimePoint now)
{
    if (readable == m_clockReadable) {
        return;
    }
    m_clockReadable = readable;
    LogLine line("processor_clock");
    line.flag("readable", readable);
    m_core.log.write(line, now, true);
}

std::size_t CapacityMeter::upstreamConnections() const
{
    std::size_t sum = 0;
    for (const auto &[service, description] : m_core.configuration.services) {
        for (const ingress::UpstreamTable::Pointer &upstream : m_core.upstreamTable.ofService(service)) {
            sum += upstream->openConnections;
        }
    }
    return sum;
}

void CapacityMeter::setGauges()
{
    const ingress::MeasuredRequests &measured = m_core.measuredRequests;
    m_core.metrics.set("trefoilstile_capacity_requests_per_second", {}, measured.capacity());
    m_core.metrics.set("trefoilstile_capacity_measured", {}, measured.measured() ? 1 : 0);
    m_core.metrics.set("trefoilstile_request_bytes", {{"direction", "in"}}, static_cast<double>(measured.totalBytes().received));
    m_core.metrics.set("trefoilstile_request_bytes", {{"direction", "out"}}, static_cast<double>(measured.totalBytes().sent));
    for (const ingress::LimitingResource resource : ingress::s_resources) {
        const std::string name(ingress::resourceName(resource));
        m_core.metrics.set("trefoilstile_capacity_limited_by", {{"resource", name}}, resource == measured.limitingResource() ? 1 : 0);
    }
}

} // namespace trefoilstile::proxy
