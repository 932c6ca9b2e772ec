// Slots, queue and warm objects of an emulated upstream.

#include "emulated_upstream.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::bench::placement
{

using ingress::AttemptVerdict;

void VirtualClock::at(base::TimePoint time, std::function<void()> event)
{
    m_events.emplace(std::max(time, m_now), std::move(event));
}

void VirtualClock::runUntil(base::TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = m_events.begin()->first;
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    m_now = end;
}

EmulatedUpstream::EmulatedUpstream(VirtualClock &clock, const EmulatedService &service, double warmPart, std::uint64_t seed)
    : m_clock(clock)
    , m_service(service)
    , m_warmPart(warmPart)
    , m_random(seed)
    , m_speed(0.85 + 0.3 * base::uniformUnit(m_random))
{
}

void EmulatedUpstream::receive(Job job)
{
    if (m_running < m_service.slots) {
        start(std::move(job));
    } else if (m_waiting.size() < m_service.queue) {
        m_waiting.push_back(std::move(job));
    } else {
        job.ended(AttemptVerdict::Shed, load(), false);
    }
}

void EmulatedUpstream::start(Job job)
{
    ++m_running;
    const bool warm = touch(job.object);
    constexpr double spread = 0.15;
    const double factor = (warm ? m_warmPart : 1.0) * m_speed * slowness * (1 + spread * (2 * base::uniformUnit(m_random) - 1));
    const base::TimePoint ready = m_clock.now() + std::chrono::duration_cast<base::Duration>(factor * job.coldWork);
    const bool late = ready > job.deadline;
    m_clock.at(std::min(ready, job.deadline), [this, late, warm, ended = std::move(job.ended)] {
        --m_running;
        ended(late ? AttemptVerdict::TimedOut : AttemptVerdict::Served, load(), !warm);
        startWaiting();
    });
}

void EmulatedUpstream::startWaiting()
{
    while (m_running < m_service.slots && !m_waiting.empty()) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (job.deadline <= m_clock.now()) {
            job.ended(AttemptVerdict::Shed, load(), false);
        } else {
            start(std::move(job));
        }
    }
}

bool EmulatedUpstream::touch(std::uint64_t object)
{
    const auto found = std::find(m_warm.begin(), m_warm.end(), object);
    const bool warm = found != m_warm.end();
    if (warm) {
        m_warm.erase(found);
    }
    m_warm.push_front(object);
    if (m_warm.size() > m_service.warmObjects) {
        m_warm.pop_back();
    }
    return warm;
}

ingress::ReportedLoad EmulatedUpstream::load() const
{
    return {m_running, static_cast<std::uint32_t>(m_waiting.size()), m_service.slots};
}

} // namespace trefoilstile::bench::placement
