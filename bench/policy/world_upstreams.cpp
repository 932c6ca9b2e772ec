// What an upstream of the benchmark does, and the faults.

#include <algorithm>
#include <string>

#include "world.hpp"

namespace trefoilstile::bench
{

using namespace std::chrono_literals;

void World::setUpUpstreams()
{
    for (std::uint32_t index = 0; index < m_deployment.upstreams(); ++index) {
        FakeUpstream upstream;
        upstream.name = "u" + std::to_string(index);
        upstream.domain = index / m_deployment.upstreamsPerDomain;
        upstream.slots = m_deployment.slots;
        m_upstreams.push_back(std::move(upstream));
    }
}

void World::reachUpstream(std::uint64_t id)
{
    Attempt &attempt = m_attempts.at(id);
    FakeUpstream &upstream = m_upstreams[attempt.upstream];
    if (upstream.fault == UpstreamFault::Refuses) {
        endAttempt(id, engine::AttemptResult::NothingSent);
        return;
    }
    if (upstream.fault == UpstreamFault::Hangs) {
        schedule(attempt.deadline, EventKind::Timeout, id);
        return;
    }
    if (upstream.drainedAt && m_now > *upstream.drainedAt + 3s) {
        ++m_result.startsAfterDrain;
    }
    if (!upstream.full()) {
        serve(id);
        return;
    }
    // Upstreams shed load instead of queueing more than they serve in a few service times.
    if (upstream.waiting.size() >= 2 * upstream.slots) {
        ++m_result.phases[m_phase].upstreamRejections;
        endAttempt(id, engine::AttemptResult::RejectedNotRun);
        return;
    }
    upstream.waiting.push_back(id);
    schedule(attempt.deadline, EventKind::Timeout, id);
}

void World::serve(std::uint64_t id)
{
    Attempt &attempt = m_attempts.at(id);
    FakeUpstream &upstream = m_upstreams[attempt.upstream];
    const ClassWork &work = m_deployment.work[attempt.priorityClass];
    const base::Duration firstByte = exponential(std::chrono::duration_cast<base::Duration>(work.firstByte * upstream.factor()), m_random);
    const base::Duration rest = work.held > work.firstByte ? exponential(work.held - work.firstByte, m_random) : 0ns;
    attempt.running = true;
    ++upstream.busy[attempt.priorityClass];
    upstream.servedCold += upstream.coldSince ? 1 : 0;
    if (m_now + firstByte > attempt.deadline) {
        schedule(attempt.deadline, EventKind::Timeout, id);
        return;
    }
    attempt.firstByteAt = m_now + firstByte;
    schedule(m_now + firstByte + rest, EventKind::ServiceEnd, id);
}

void World::endService(std::uint64_t id)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && !found->second.ended) {
        endAttempt(id, engine::AttemptResult::Completed);
    }
}

// Frees the slot and sends the result to the instance.
void World::endAttempt(std::uint64_t id, engine::AttemptResult result)
{
    Attempt &attempt = m_attempts.at(id);
    FakeUpstream &upstream = m_upstreams[attempt.upstream];
    const std::uint32_t domain = m_instances[m_requests.at(attempt.request).instance].domain;
    attempt.result = result;
    attempt.ended = true;
    attempt.leavingHeader = upstream.drainedAt && m_now >= *upstream.drainedAt + 1s && result == engine::AttemptResult::Completed;
    schedule(m_now + latency(upstream.domain, domain), EventKind::Result, id);
    if (attempt.running) {
        attempt.running = false;
        --upstream.busy[attempt.priorityClass];
        if (upstream.drainedAt) {
            m_result.drainSeconds = base::toSeconds(m_now - *upstream.drainedAt);
        }
        serveWaiting(upstream);
    }
}

void World::serveWaiting(FakeUpstream &upstream)
{
    while (!upstream.full() && !upstream.waiting.empty()) {
        const std::uint64_t next = upstream.waiting.front();
        upstream.waiting.pop_front();
        serve(next);
    }
}

void World::timeOut(std::uint64_t id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.ended || found->second.firstByteAt != base::TimePoint()) {
        return;
    }
    // Upstreams accept cancellation.
    std::erase(m_upstreams[found->second.upstream].waiting, id);
    endAttempt(id, engine::AttemptResult::TimedOut);
}

void World::applyFault(const Fault &fault)
{
    for (std::uint32_t index = 0; index < m_upstreams.size(); ++index) {
        FakeUpstream &upstream = m_upstreams[index];
        const bool inRegion = upstream.domain / 2 == fault.target;
        const bool inDomain = upstream.domain == fault.target;
        if (fault.kind == FaultKind::LoseRegion && inRegion) {
            kill(upstream, index % 2 == 0 ? UpstreamFault::Refuses : UpstreamFault::Hangs);
        } else if ((fault.kind == FaultKind::RestoreRegion && inRegion) || (fault.kind == FaultKind::ColdDomain && inDomain)) {
            replace(upstream);
        } else if (fault.kind == FaultKind::DrainDomain && inDomain) {
            upstream.drainedAt = m_now;
        } else if (fault.kind == FaultKind::MisleadReports && index % 4 < 2) {
            upstream.reportFault = index % 4 == 0 ? ReportFault::AlwaysIdle : ReportFault::AlwaysFull;
            upstream.slowness = index % 4 == 0 ? 3.0 : 1.0;
        }
    }
    if (fault.kind == FaultKind::DrainDomain) {
        for (std::uint32_t index = 0; index < m_instances.size(); ++index) {
            const double part = static_cast<double>(index) / static_cast<double>(m_instances.size());
            schedule(m_now + std::chrono::duration_cast<base::Duration>(part * 1500ms), EventKind::Drains, index);
        }
    }
    m_reportLag = fault.kind == FaultKind::LagReports ? 5s : m_reportLag;
    m_reportsStopped = m_reportsStopped || fault.kind == FaultKind::StopReports;
}

void World::kill(FakeUpstream &upstream, UpstreamFault fault)
{
    const auto index = static_cast<std::uint32_t>(&upstream - m_upstreams.data());
    upstream.waiting.clear();
    std::vector<std::uint64_t> lost;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.upstream == index && !attempt.ended && m_now > attempt.startedAt) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end()); // the order of the map is not defined
    for (const std::uint64_t id : lost) {
        const Attempt &attempt = m_attempts.at(id);
        const bool started = attempt.firstByteAt != base::TimePoint() && attempt.firstByteAt <= m_now;
        endAttempt(id, started ? engine::AttemptResult::Broken : engine::AttemptResult::Failed);
    }
    upstream.fault = fault;
    upstream.history.clear();
}

void World::replace(FakeUpstream &upstream)
{
    kill(upstream, UpstreamFault::None);
    ++upstream.incarnation.value;
    upstream.coldSince = m_now;
    upstream.servedCold = 0;
}

} // namespace trefoilstile::bench
