// Queueing of requests, attempts at upstreams, and the retries, resumptions and rejections that follow them.

#include <algorithm>

#include "trefoilstile/engine/engine.hpp"

namespace trefoilstile::engine
{

namespace
{

/// Minimum useful time for an attempt; a shorter attempt would only add load to the upstream.
constexpr base::Duration s_minimumAttemptTime = std::chrono::milliseconds(5);

std::uint16_t statusOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::TimedOut:
        return 504;
    case AttemptResult::RejectedNotRun:
        return 503;
    default:
        return 502;
    }
}

} // namespace

void Engine::admit(HeldRequest &request, base::TimePoint now)
{
    ServiceState &service = *request.service;
    if (!service.present) {
        rejectUnstarted(request, RejectReason::NoRoute, now);
        return;
    }
    if (request.deadline <= now) {
        rejectUnstarted(request, RejectReason::DeadlinePassed, now);
        return;
    }
    if (!request.relayed && !admitsFrom(request.client, request.priorityClass, now)) {
        rejectUnstarted(request, RejectReason::ShiftCap, now);
        return;
    }
    const std::size_t available = slots(service, now);
    if (available == 0) {
        rejectUnstarted(request, RejectReason::NoUpstream, now);
        return;
    }
    const admission::QueuedRequest queued{request.id, request.priorityClass, request.arrival, request.deadline};
    switch (service.scheduler.enqueue(queued, now, available)) {
    case admission::Admission::QueueFull:
        rejectUnstarted(request, RejectReason::QueueFull, now);
        return;
    case admission::Admission::DeadlineTooShort:
        rejectUnstarted(request, RejectReason::DeadlineTooShort, now);
        return;
    case admission::Admission::Accepted:
        break;
    }
    request.stage = RequestStage::Queued;
    dispatch(service, now);
}

/// Rejects a request that has no attempt in progress.
void Engine::rejectUnstarted(HeldRequest &request, RejectReason reason, base::TimePoint now)
{
    if (!request.key.empty()) {
        endKeyed(m_keys.expire(request.key, request.id, now), reason, now);
        return;
    }
    const std::uint16_t status = reason == RejectReason::DeadlinePassed ? 504 : 503;
    reject(request, status, request.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason, now);
}

void Engine::dispatch(ServiceState &service, base::TimePoint now)
{
    const auto accepts = [this, now](const admission::QueuedRequest &queued) {
        const HeldRequest *request = find(queued.id);
        return request != nullptr && canStart(*request, now);
    };
    while (const std::optional<admission::StartedRequest> started = service.scheduler.next(now, slots(service, now), accepts)) {
        if (!startAttempt(service, *started, now)) {
            return;
        }
    }
}

bool Engine::startAttempt(ServiceState &service, const admission::StartedRequest &started, base::TimePoint now)
{
    HeldRequest &request = *find(started.request.id);
    const std::optional<upstream::Choice> choice = chooseUpstream(request, started.beyondSlots, now);
    if (!choice) {
        service.scheduler.cancelled(request.priorityClass);
        service.scheduler.requeue(started.request);
        return false;
    }
    request.choice = *choice;
    sendAttempt(request, request.responseStarted, now);
    return true;
}

/// Time for one attempt. A request that may be retried keeps half of its time for another upstream; otherwise an upstream
/// that accepts the request and does not respond would use all of it. The same holds for an attempt that probes an ejected
/// upstream.
base::Duration Engine::firstByteTimeout(const HeldRequest &request, base::TimePoint now) const
{
    const base::Duration left = request.deadline - now;
    const bool mayRetry = request.idempotent && !request.responseStarted && request.attempts < request.service->settings.retry.maximumAttempts;
    return mayRetry || request.choice.probe ? std::max(left / 2, s_minimumAttemptTime) : left;
}

void Engine::sendAttempt(HeldRequest &request, bool resume, base::TimePoint now)
{
    ServiceState &service = *request.service;
    if (!request.key.empty()) {
        m_keys.markSent(request.key, request.id);
    }
    if (resume) {
        ++request.resumptions;
    } else if (++request.attempts == 1) {
        service.budget.recordFirstAttempt(request.priorityClass, now);
    }
    request.stage = RequestStage::Attempting;
    request.attempt = base::AttemptId{++m_lastAttempt};
    request.attemptStart = now;
    request.tried.push_back(request.choice.index);
    const upstream::UpstreamSetConfig::Entry &entry = service.upstreams.upstream(request.choice.index);
    Forward command;
    command.id = request.id;
    command.attemptId = request.attempt;
    command.service = service.name;
    command.upstream = entry.name;
    command.address = entry.address;
    command.priorityClass = request.priorityClass;
    command.freshConnection = !request.idempotent;
    command.keepResponse = !request.key.empty();
    command.resume = resume;
    command.connectTimeout = service.settings.connectTimeout;
    command.firstByteTimeout = firstByteTimeout(request, now);
    command.idleTimeout = service.settings.idleTimeout;
    command.remoteRegion = request.remoteRegion;
    m_commands.emplace_back(std::move(command));
}

void Engine::on(AttemptEnded &event, base::TimePoint now)
{
    HeldRequest *request = find(event.id);
    if (request == nullptr || request->stage != RequestStage::Attempting || request->attempt != event.attemptId) {
        return;
    }
    ServiceState &service = *request->service;
    endAttempt(*request, event, now);
    dispatch(service, now);
}

void Engine::endAttempt(HeldRequest &request, const AttemptEnded &event, base::TimePoint now)
{
    ServiceState &service = *request.service;
    const bool abandoned = request.callerDisconnected && event.result != AttemptResult::Completed;
    service.upstreams.finished(request.choice, request.priorityClass, {event.result, event.latency, event.upstreamLeaving, abandoned}, now, m_random);
    for (RemoteRegion &remote : service.remotes) {
        remote.running -= remote.name == request.remoteRegion && remote.running > 0 ? 1 : 0;
    }
    service.scheduler.finished(request.priorityClass, now - request.attemptStart, event.latency);
    request.responseStarted |= event.result == AttemptResult::Broken || event.result == AttemptResult::ObjectChanged;
    request.resumable |= event.resumable;

    retry::AttemptHistory history;
    history.idempotent = request.idempotent;
    history.attempts = request.attempts;
    history.resumptions = request.resumptions;
    history.mayHaveRun = request.mayHaveRun;
    history.responseStarted = request.responseStarted;
    history.resumable = request.resumable && !request.callerDisconnected;
    history.remainingTime = request.callerDisconnected ? base::Duration(0) : request.deadline - now;
    history.minimumAttemptTime = s_minimumAttemptTime;
    const retry::RetryDecision decision = service.retryPolicy.decide(history, event.result, request.priorityClass, service.budget, now);
    request.mayHaveRun |= !retry::provesNotRun(event.result);
    applyDecision(request, decision, event, now);
}

void Engine::applyDecision(HeldRequest &request, retry::RetryDecision decision, const AttemptEnded &event, base::TimePoint now)
{
    const bool keyed = !request.key.empty();
    switch (decision) {
    case retry::RetryDecision::Done:
        if (keyed) {
            endKeyed(m_keys.complete(request.key, request.id, event.response, now), RejectReason::UpstreamFailed, now);
        }
        release(request);
        return;
    case retry::RetryDecision::Retry:
        if (keyed) {
            m_keys.returnToQueue(request.key, request.id);
        }
        requeue(request);
        return;
    case retry::RetryDecision::Resume:
        request.deadline = now + request.service->settings.idleTimeout;
        requeue(request);
        return;
    case retry::RetryDecision::RejectNotRun:
        if (keyed) {
            endKeyed(m_keys.markNotRun(request.key, request.id, now), RejectReason::RetriesExhausted, now);
            return;
        }
        reject(request, statusOf(event.result), Outcome::NotRun, RejectReason::RetriesExhausted, now);
        return;
    case retry::RetryDecision::RejectUnknown:
        if (keyed) {
            endKeyed(m_keys.markOutcomeUnknown(request.key, request.id, now), RejectReason::UpstreamFailed, now);
            return;
        }
        reject(request, statusOf(event.result), Outcome::Unknown, RejectReason::UpstreamFailed, now);
        return;
    case retry::RetryDecision::Truncate:
        truncate(request, now);
        return;
    }
}

/// Aborts a partly forwarded response. Requests that wait for its key are rejected with an unknown outcome.
void Engine::truncate(HeldRequest &request, base::TimePoint now)
{
    const std::string key = request.key;
    const base::RequestId id = request.id;
    m_commands.emplace_back(Truncate{id});
    release(request);
    if (!key.empty()) {
        endKeyed(m_keys.markOutcomeUnknown(key, id, now), RejectReason::UpstreamFailed, now);
    }
}

void Engine::requeue(HeldRequest &request)
{
    request.stage = RequestStage::Queued;
    request.service->scheduler.requeue({request.id, request.priorityClass, request.arrival, request.deadline});
}

void Engine::expireQueued(ServiceState &service, base::TimePoint now)
{
    for (const admission::QueuedRequest &queued : service.scheduler.expire(now)) {
        HeldRequest *request = find(queued.id);
        if (request == nullptr) {
            continue;
        }
        if (request->responseStarted) {
            truncate(*request, now);
            continue;
        }
        rejectUnstarted(*request, RejectReason::DeadlinePassed, now);
    }
}

void Engine::on(CallerDisconnected &event, base::TimePoint now)
{
    HeldRequest *request = find(event.id);
    if (request == nullptr) {
        return;
    }
    request->callerDisconnected = true;
    switch (request->stage) {
    case RequestStage::Queued:
        request->service->scheduler.remove(request->id);
        break;
    case RequestStage::Waiting:
        break;
    default: // an attempt, claim or relay in progress ends with its own event
        return;
    }
    if (!request->key.empty()) {
        withdrawKey(*request, now);
    }
    m_commands.emplace_back(Discard{request->id});
    release(*request);
}

} // namespace trefoilstile::engine
