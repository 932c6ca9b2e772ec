// Time, callers and results of a run.

#include "world.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::bench
{

using namespace std::chrono_literals;

namespace
{

constexpr base::Duration s_tickPeriod = 20ms;

// Callers are not spread evenly over instances; the most loaded one has about 1.4 times the load of the least.
constexpr double s_unevenness = 0.35;

} // namespace

RunResult run(const Deployment &deployment, const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    return World(deployment, scenario, policy, seed).run();
}

World::World(const Deployment &deployment, const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_policy(policy)
    , m_arrivalRandom(seed)
    , m_random(base::mixBits(seed))
{
    m_result.deployment = deployment.name;
    m_result.scenario = scenario.name;
    m_result.policy = policy.name;
    base::TimePoint end = m_start;
    for (const Phase &phase : scenario.phases) {
        end += phase.length;
        m_phaseEnds.push_back(end);
        m_result.phases.push_back({phase.name, {}, 0.0, 0});
        for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
            m_result.phases.back().classes[priorityClass].demand = phase.demand[priorityClass];
        }
    }
    m_ticks.assign(scenario.phases.size(), 0);
    setUpUpstreams();
    setUpInstances();
}

RunResult World::run()
{
    startPhase(0);
    schedule(m_now, EventKind::Tick);
    for (std::uint32_t instance = 0; instance < m_instances.size(); ++instance) {
        // Instances poll the load endpoints out of step.
        schedule(m_now + instance * 1s / static_cast<int>(m_instances.size()), EventKind::Report, instance);
    }
    for (std::size_t index = 0; index < m_scenario.faults.size(); ++index) {
        schedule(m_now + m_scenario.faults[index].at, EventKind::Fault, index);
    }
    const base::TimePoint end = m_phaseEnds.back() + 10s; // running work ends, nothing new arrives
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        while (m_phase + 1 < m_phaseEnds.size() && m_now >= m_phaseEnds[m_phase]) {
            startPhase(m_phase + 1);
        }
        handle(event);
    }
    for (std::size_t phase = 0; phase < m_ticks.size(); ++phase) {
        const double ticks = static_cast<double>(std::max<std::uint64_t>(m_ticks[phase], 1));
        m_result.phases[phase].headroom /= ticks;
        for (ClassResult &figures : m_result.phases[phase].classes.values) {
            figures.slotShare /= ticks;
        }
    }
    return std::move(m_result);
}

void World::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        // An arrival drawn for an earlier phase is void; the phase's own were scheduled when it began.
        if (event.detail == m_phase && m_now < m_phaseEnds.back()) {
            arrive(static_cast<base::PriorityClass>(event.subject));
        }
        break;
    case EventKind::Return: {
        const auto found = m_requests.find(event.subject);
        Request request = found->second;
        m_requests.erase(found);
        offer(request);
        break;
    }
    case EventKind::AtUpstream:
        reachUpstream(event.subject);
        break;
    case EventKind::ServiceEnd:
        endService(event.subject);
        break;
    case EventKind::Timeout:
        timeOut(event.subject);
        break;
    case EventKind::Result:
        finish(event.subject);
        break;
    case EventKind::Tick:
        tick();
        break;
    case EventKind::Report:
        reportTo(static_cast<std::uint32_t>(event.subject));
        break;
    case EventKind::Fault:
        applyFault(m_scenario.faults[event.subject]);
        break;
    case EventKind::Drains:
        deliverDrains(static_cast<std::uint32_t>(event.subject));
        break;
    }
}

void World::schedule(base::TimePoint at, EventKind kind, std::uint64_t subject, std::uint64_t detail)
{
    m_events.push({at, m_sequence++, kind, subject, detail});
}

void World::startPhase(std::uint32_t phase)
{
    m_phase = phase;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        scheduleArrival(priorityClass);
    }
}

void World::scheduleArrival(base::PriorityClass priorityClass)
{
    const double demand = m_scenario.phases[m_phase].demand[priorityClass] * m_deployment.totalSlots();
    if (demand > 0.0) {
        const double interval = base::toSeconds(m_deployment.work[priorityClass].held) / demand;
        const base::Duration mean = base::fromSeconds(interval);
        schedule(m_now + exponential(mean, m_arrivalRandom), EventKind::Arrival, static_cast<std::uint64_t>(priorityClass), m_phase);
    }
}

void World::arrive(base::PriorityClass priorityClass)
{
    scheduleArrival(priorityClass);
    Request request;
    request.phase = m_phase;
    request.firstArrival = m_now;
    request.queued.id = {++m_lastId};
    request.queued.priorityClass = priorityClass;
    // A linear density over the instances.
    const double unit = base::uniformUnit(m_arrivalRandom);
    const double skewed = unit * (1.0 + s_unevenness * 0.5 * (1.0 - unit));
    request.instance = static_cast<std::uint32_t>(std::min(skewed, 0.999999) * static_cast<double>(m_instances.size()));
    ++m_result.phases[m_phase].classes[priorityClass].offered;
    offer(request);
}

void World::offer(const Request &offered)
{
    Request request = offered;
    const base::PriorityClass priorityClass = request.queued.priorityClass;
    request.queued.arrival = m_now;
    request.queued.deadline = m_now + m_deployment.work[priorityClass].timeout;
    Instance &instance = m_instances[request.instance];
    instance.budget.recordFirstAttempt(priorityClass, m_now);
    const std::uint32_t slots = instance.set->concurrency(instance.domains, m_now);
    if (instance.scheduler->enqueue(request.queued, m_now, slots) != admission::Admission::Accepted) {
        reject(request, false);
        return;
    }
    m_requests.emplace(request.queued.id.value, request);
    pump(request.instance);
}

void World::reject(const Request &request, bool expired)
{
    const base::PriorityClass priorityClass = request.queued.priorityClass;
    ClassResult &figures = m_result.phases[request.phase].classes[priorityClass];
    if (m_scenario.callersReturn && m_now < m_phaseEnds.back()) {
        Instance &instance = m_instances[request.instance];
        const double overload = instance.scheduler->overload(priorityClass, m_now, instance.set->concurrency(instance.domains, m_now));
        Request again = request;
        again.queued.id = {++m_lastId};
        again.instance = static_cast<std::uint32_t>(base::uniformBelow(m_random, m_instances.size()));
        again.attempts = 0;
        again.tried.clear();
        schedule(m_now + m_retryPolicy.retryAfter(overload, m_random), EventKind::Return, again.queued.id.value);
        m_requests.emplace(again.queued.id.value, again);
    }
    // With returning callers these count rejections, of which a request can have several.
    ++(expired ? figures.expired : figures.rejected);
}

void World::tick()
{
    if (m_now < m_phaseEnds.back()) {
        double live = 0.0;
        base::PerClass<double> busy;
        for (FakeUpstream &upstream : m_upstreams) {
            const bool takesWork = upstream.fault == UpstreamFault::None && !upstream.drainedAt;
            live += takesWork ? upstream.slots : 0;
            for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
                busy[priorityClass] += takesWork ? upstream.busy[priorityClass] : 0;
            }
            upstream.history.emplace_back(m_now, upstream.report(m_now));
            if (upstream.history.front().first < m_now - 6s) {
                upstream.history.pop_front();
            }
        }
        PhaseResult &phase = m_result.phases[m_phase];
        ++m_ticks[m_phase];
        phase.headroom += 1.0 - (busy.values[0] + busy.values[1] + busy.values[2]) / live;
        for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
            phase.classes[priorityClass].slotShare += busy[priorityClass] / live;
        }
    }
    for (std::uint32_t index = 0; index < m_instances.size(); ++index) {
        for (const admission::QueuedRequest &expired : m_instances[index].scheduler->expire(m_now)) {
            const Request request = m_requests.at(expired.id.value);
            m_requests.erase(expired.id.value);
            reject(request, true);
        }
        pump(index);
    }
    schedule(m_now + s_tickPeriod, EventKind::Tick);
}

base::Duration World::exponential(base::Duration mean, base::SplitMix64 &random) const
{
    const double factor = -std::log(1.0 - base::uniformUnit(random));
    return std::chrono::duration_cast<base::Duration>(mean * factor) + 1ns;
}

base::Duration World::latency(std::uint32_t fromDomain, std::uint32_t toDomain) const
{
    if (fromDomain == toDomain) {
        return 250us;
    }
    return fromDomain / 2 == toDomain / 2 ? 1500us : 10ms;
}

} // namespace trefoilstile::bench
