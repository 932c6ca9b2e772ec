// Events that concern the whole instance, and the ends of requests.

#include "trefoilstile/engine/engine.hpp"

#include <algorithm>

namespace trefoilstile::engine
{

Outcome outcomeBeforeKeyTable(const RequestArrived &event)
{
    return event.idempotencyKey.empty() || event.repeat == 0U ? Outcome::NotRun : Outcome::Unknown;
}

Engine::Engine(EngineOptions options, base::TimePoint now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_shiftLimiter(m_options.incarnation, m_options.region, now, m_options.shift)
    , m_regionLoad(m_options.region)
    , m_regionAdmission(m_options.shift)
    , m_keys(idempotency::KeyIssuer(m_options.incarnation, now), m_options.keys)
{
}

std::shared_ptr<const routing::EntryTable> Engine::entryTable() const
{
    return m_entryTable;
}

const idempotency::KeyIssuer &Engine::keyIssuer() const
{
    return m_keys.issuer();
}

base::Generation Engine::generation() const
{
    return m_generation;
}

const std::string &Engine::documentHash() const
{
    return m_documentHash;
}

base::Generation Engine::drainGeneration() const
{
    return m_drainGeneration;
}

EngineStatistics Engine::statistics() const
{
    EngineStatistics statistics;
    statistics.held = m_requests.size();
    statistics.keyRecords = m_keys.size();
    statistics.keyBytes = m_keys.bytes();
    for (const auto &[name, service] : m_services) {
        for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
            statistics.queued[priorityClass] += service->scheduler.queued(priorityClass);
            statistics.running[priorityClass] += service->scheduler.running(priorityClass);
        }
    }
    return statistics;
}

bool Engine::leaving() const
{
    return m_stopping || isDrained({m_options.name, m_options.incarnation, {}, m_options.region, m_options.failureDomain, true, false});
}

void Engine::sealKeys()
{
    m_keys.seal();
}

std::vector<idempotency::SealedPart> Engine::exportKeys(base::TimePoint now) const
{
    return m_keys.exportSealed(now);
}

idempotency::SealedTables::Import Engine::importKeys(const idempotency::SealedPart &part, base::TimePoint now)
{
    return m_sealedKeys.import(part, now);
}

bool Engine::holdsKeysOf(base::IncarnationId incarnation) const
{
    return m_sealedKeys.complete(incarnation);
}

void Engine::handleEvent(Event event, base::TimePoint now)
{
    std::visit(
        [this, now](auto &alternative) {
            on(alternative, now);
        },
        event);
}

void Engine::advance(base::TimePoint now)
{
    expireWaiting(now);
    updateRegions(now);
    for (auto &[name, service] : m_services) {
        expireQueued(*service, now);
        dispatch(*service, now);
    }
    std::erase_if(m_services, [](const auto &item) {
        return !item.second->present && item.second->held == 0;
    });
}

void Engine::on(RequestArrived &event, base::TimePoint now)
{
    HeldRequest &request = m_requests[event.id];
    request.id = event.id;
    request.arrival = now;
    request.relayed = event.relayed;
    const Outcome outcome = outcomeBeforeKeyTable(event);
    if (!m_document) {
        reject(request, 503, outcome, RejectReason::NotReady, now);
        return;
    }
    if (!routing::isCanonicalPath(event.path)) {
        reject(request, 400, outcome, RejectReason::PathNotCanonical, now);
        return;
    }
    const std::optional<routing::RouteMatch> match = m_routes->match(event.host, event.path, event.method);
    if (!match) {
        reject(request, 404, outcome, RejectReason::NoRoute, now);
        return;
    }
    const document::Service &service = m_document->services[match->service];
    const document::Route &route = service.routes[match->route];
    const base::Duration timeout = route.timeout.value_or(service.timeout);
    request.service = m_services.find(service.name)->second.get();
    ++request.service->held;
    request.priorityClass = route.priorityClass;
    request.idempotent = route.idempotent;
    request.deadline = now + std::min(timeout, event.timeLeft.value_or(timeout));
    request.client = event.client;
    if (!route.idempotent && !event.idempotencyKey.empty()) {
        request.key = event.idempotencyKey;
        request.fingerprint = event.fingerprint;
        request.repeat = event.repeat;
        beginKeyed(request, now);
        return;
    }
    admit(request, now);
}

void Engine::on(LoadReported &event, base::TimePoint now)
{
    m_regionLoad.record(event, now);
    for (auto &[name, service] : m_services) {
        service->upstreams.loadReported(event, now);
    }
}

void Engine::on(UpstreamListedLeaving &event, base::TimePoint)
{
    for (auto &[name, service] : m_services) {
        service->upstreams.listedLeaving(event.upstream, event.incarnation);
    }
}

void Engine::on(DrainsUpdated &event, base::TimePoint now)
{
    if (event.generation <= m_drainGeneration) {
        return;
    }
    m_drainGeneration = event.generation;
    m_drains = std::move(event.drains);
    for (auto &[name, service] : m_services) {
        service->upstreams.drainsUpdated(m_drainGeneration, m_drains, now);
    }
    rebuildEntryTable();
}

void Engine::on(DocumentUpdated &event, base::TimePoint now)
{
    if (event.generation <= m_generation) {
        return;
    }
    m_generation = event.generation;
    m_documentHash = std::move(event.hash);
    m_document = event.document;
    m_blocks = event.blocks;
    m_routes.emplace(*m_document);
    m_shiftLimiter.adopt(m_generation, *m_document);
    ++m_grantsVersion;
    m_regionLoad.adopt(*m_document);
    updateServices(now);
    rebuildEntryTable();
}

void Engine::on(MembersUpdated &event, base::TimePoint)
{
    m_members = std::move(event.members);
    for (auto &[name, service] : m_services) {
        updateMembers(*service);
    }
    rebuildEntryTable();
}

void Engine::on(StopRequested &, base::TimePoint)
{
    m_stopping = true;
    rebuildEntryTable();
}

void Engine::updateServices(base::TimePoint now)
{
    for (auto &[name, state] : m_services) {
        state->present = m_document->findService(name) != nullptr;
    }
    for (const document::Service &service : m_document->services) {
        const upstream::UpstreamSetConfig config = upstream::upstreamSetConfig(*m_document, service, m_options.environment, m_options.name);
        const admission::SchedulerOptions scheduling = admission::schedulerOptions(*m_document, service);
        std::unique_ptr<ServiceState> &state = m_services[service.name];
        if (state) {
            state->scheduler.configure(scheduling);
            state->upstreams.update(config, now);
        } else {
            state = std::make_unique<ServiceState>(service.name, scheduling, config);
            state->upstreams.drainsUpdated(m_drainGeneration, m_drains, now);
        }
        state->settings = service;
        state->settings.upstreams.clear();
        state->settings.routes.clear();
        state->budget.setShare(service.retry.budget);
        state->retryPolicy = retry::RetryPolicy({.maximumAttempts = service.retry.maximumAttempts});
        state->domains = state->upstreams.domainsFrom(m_options.failureDomain, m_options.region, false);
        updateRemotes(*state);
        updateMembers(*state);
    }
}

void Engine::updateMembers(ServiceState &service)
{
    std::vector<upstream::SharingInstance> members;
    for (const EntryMember &member : m_members) {
        if (member.alive && !member.leaving && !isDrained(member)) {
            members.push_back({member.name, member.region});
        }
    }
    service.upstreams.updateInstances(members);
}

void Engine::rebuildEntryTable()
{
    if (!m_document) {
        return;
    }
    std::vector<routing::EntryCandidate> candidates;
    for (const EntryMember &member : m_members) {
        if (servesLookups(member)) {
            candidates.push_back({member.name, member.callerAddress, member.region, member.failureDomain});
        }
    }
    m_entryTable = std::make_shared<routing::EntryTable>(m_document, m_blocks, m_generation, std::move(candidates));
}

bool Engine::servesLookups(const EntryMember &member) const
{
    const bool stoppingSelf = m_stopping && member.incarnation == m_options.incarnation;
    return member.alive && !member.leaving && !stoppingSelf && !isDrained(member);
}

bool Engine::isDrained(const EntryMember &member) const
{
    return std::any_of(m_drains.begin(), m_drains.end(), [&member](const Drain &drain) {
        return (drain.kind == DrainKind::Entry && drain.name == member.name) || (drain.kind == DrainKind::FailureDomain && drain.name == member.failureDomain)
            || (drain.kind == DrainKind::Region && drain.name == member.region);
    });
}

HeldRequest *Engine::find(base::RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void Engine::reject(HeldRequest &request, std::uint16_t status, Outcome outcome, RejectReason reason, base::TimePoint now)
{
    Reject command{request.id, status, outcome, reason, {}, {}, request.priorityClass};
    if (request.service != nullptr) {
        ServiceState &service = *request.service;
        command.service = service.name;
        const double overload = service.scheduler.overload(request.priorityClass, now, slots(service, now));
        command.retryAfter = service.retryPolicy.retryAfter(overload, m_random);
    } else if (status == 503) {
        command.retryAfter = retry::RetryPolicy().retryAfter(1.0, m_random);
    }
    if (request.callerDisconnected) {
        m_commands.emplace_back(Discard{request.id});
    } else {
        m_commands.emplace_back(std::move(command));
    }
    release(request);
}

void Engine::release(HeldRequest &request)
{
    if (request.service != nullptr) {
        --request.service->held;
    }
    m_requests.erase(request.id);
}

} // namespace trefoilstile::engine
