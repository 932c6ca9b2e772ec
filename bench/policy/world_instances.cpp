// What an entry instance of the benchmark does with the decision code.

#include <algorithm>
#include <string>

#include "world.hpp"

namespace trefoilstile::bench
{

using namespace std::chrono_literals;

namespace
{

std::string domainName(std::uint32_t domain)
{
    return "r" + std::to_string(domain / 2) + (domain % 2 == 0 ? "-a" : "-b");
}

std::string regionName(std::uint32_t domain)
{
    return "r" + std::to_string(domain / 2);
}

} // namespace

void World::setUpInstances()
{
    upstream::UpstreamSetConfig config;
    config.maximumEntryInstances = m_deployment.maximumEntryInstances;
    config.warmUp = 30s;
    for (const FakeUpstream &upstream : m_upstreams) {
        config.upstreams.push_back(
            {upstream.name, "10.0.0.1:1", domainName(upstream.domain), regionName(upstream.domain), upstream.slots, m_deployment.connections, 1.0});
    }
    std::vector<upstream::SharingInstance> members;
    for (std::uint32_t index = 0; index < m_deployment.instances(); ++index) {
        members.push_back({"e" + std::to_string(index), regionName(index / m_deployment.instancesPerDomain)});
    }
    for (std::uint32_t index = 0; index < m_deployment.instances(); ++index) {
        const std::uint32_t domain = index / m_deployment.instancesPerDomain;
        config.instance = members[index].name;
        Instance instance{domain,
            makeScheduler(m_policy),
            std::make_unique<upstream::UpstreamSet>(config, m_policy.upstreams),
            Selection(m_policy.selection),
            {},
            retry::RetryBudget()};
        instance.set->updateInstances(members);
        instance.domains = instance.set->domainsFrom(domainName(domain), regionName(domain), m_scenario.otherRegions);
        m_instances.push_back(std::move(instance));
    }
}

void World::pump(std::uint32_t index)
{
    Instance &instance = m_instances[index];
    while (true) {
        const std::uint32_t slots = instance.set->concurrency(instance.domains, m_now);
        base::PerClass<bool> startable;
        for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
            // Urgent work may go beyond the limit if the scheduler says so.
            const bool beyond = priorityClass == base::PriorityClass::Urgent;
            startable[priorityClass] = instance.set->canChoose({priorityClass, false, {}, instance.domains, beyond}, m_now);
        }
        const std::optional<admission::StartedRequest> started = instance.scheduler->next(m_now, slots, startable);
        if (!started) {
            return;
        }
        if (!send(index, *started)) {
            instance.scheduler->cancelled(started->request.priorityClass);
            instance.scheduler->requeue(started->request);
            return;
        }
    }
}

bool World::send(std::uint32_t index, const admission::StartedRequest &started)
{
    Instance &instance = m_instances[index];
    Request &request = m_requests.at(started.request.id.value);
    const base::PriorityClass priorityClass = started.request.priorityClass;
    const bool idempotent = m_deployment.work[priorityClass].idempotent;
    upstream::ChoiceRequest wanted{priorityClass, idempotent, request.tried, instance.domains, started.beyondSlots};
    std::optional<upstream::Choice> choice = instance.selection.choose(*instance.set, wanted, m_now, m_random);
    if (!choice && !request.tried.empty()) {
        // Only upstreams that were tried are free; a second attempt there is better than none.
        wanted.excluded = {};
        choice = instance.selection.choose(*instance.set, wanted, m_now, m_random);
    }
    if (!choice) {
        return false;
    }
    ++request.attempts;
    Attempt attempt;
    attempt.request = request.queued.id.value;
    attempt.upstream = static_cast<std::uint32_t>(choice->index);
    attempt.priorityClass = priorityClass;
    attempt.choice = *choice;
    attempt.startedAt = m_now;
    // A probe gets half of the time left, so that the request can still be served elsewhere.
    attempt.deadline = choice->probe ? m_now + (request.queued.deadline - m_now) / 2 : request.queued.deadline;
    const std::uint64_t id = ++m_lastId;
    m_attempts.emplace(id, attempt);
    schedule(m_now + latency(instance.domain, m_upstreams[attempt.upstream].domain), EventKind::AtUpstream, id);
    return true;
}

void World::finish(std::uint64_t id)
{
    const Attempt ended = m_attempts.at(id);
    m_attempts.erase(id);
    const std::uint32_t index = m_requests.at(ended.request).instance;
    Instance &instance = m_instances[index];
    const base::Duration held = m_now - ended.startedAt;
    const bool responded = ended.firstByteAt != base::TimePoint();
    const base::Duration firstByte = responded ? ended.firstByteAt - ended.startedAt : held;
    if (ended.result == engine::AttemptResult::Completed) {
        instance.scheduler->finished(ended.priorityClass, held, firstByte);
    } else {
        instance.scheduler->cancelled(ended.priorityClass);
    }
    instance.set->finished(ended.choice, ended.priorityClass, {ended.result, firstByte, ended.leavingHeader, false}, m_now, m_random);
    afterAttempt(index, ended);
    pump(index);
}

void World::afterAttempt(std::uint32_t index, const Attempt &ended)
{
    Instance &instance = m_instances[index];
    const auto found = m_requests.find(ended.request);
    Request &request = found->second;
    ClassResult &figures = m_result.phases[request.phase].classes[ended.priorityClass];
    retry::AttemptHistory history;
    history.idempotent = m_deployment.work[ended.priorityClass].idempotent;
    history.attempts = request.attempts;
    history.remainingTime = request.queued.deadline - m_now;
    history.responseStarted = ended.result == engine::AttemptResult::Broken;
    switch (m_retryPolicy.decide(history, ended.result, ended.priorityClass, instance.budget, m_now)) {
    case retry::RetryDecision::Done:
        ++figures.served;
        figures.latencies.push_back(static_cast<float>(1e3 * base::toSeconds(ended.firstByteAt - request.firstArrival)));
        m_requests.erase(found);
        return;
    case retry::RetryDecision::Retry:
        request.tried.push_back(ended.choice.index);
        instance.scheduler->requeue(request.queued);
        return;
    case retry::RetryDecision::RejectNotRun: {
        const Request rejected = request;
        m_requests.erase(found);
        reject(rejected, false);
        return;
    }
    default:
        ++figures.failed;
        m_requests.erase(found);
    }
}

void World::reportTo(std::uint32_t index)
{
    if (!m_reportsStopped) {
        for (const FakeUpstream &upstream : m_upstreams) {
            if (upstream.fault != UpstreamFault::None) {
                continue;
            }
            const auto later = std::find_if(upstream.history.begin(), upstream.history.end(), [this](const auto &state) {
                return state.first > m_now - m_reportLag;
            });
            if (later != upstream.history.begin()) {
                m_instances[index].set->loadReported(std::prev(later)->second, m_now);
            }
        }
    }
    schedule(m_now + 1s, EventKind::Report, index);
}

void World::deliverDrains(std::uint32_t index)
{
    std::vector<engine::Drain> drains;
    for (const Fault &fault : m_scenario.faults) {
        if (fault.kind == FaultKind::DrainDomain) {
            drains.push_back({engine::DrainKind::FailureDomain, domainName(fault.target)});
        }
    }
    m_instances[index].set->drainsUpdated({1}, drains, m_now);
}

} // namespace trefoilstile::bench
