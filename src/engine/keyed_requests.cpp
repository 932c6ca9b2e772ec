// Requests with an idempotency key: claims, relays to the issuer, and delivery of outcomes to waiting requests.

#include <algorithm>

#include "trefoilstile/engine/engine.hpp"
#include "trefoilstile/steering/rendezvous.hpp"

namespace trefoilstile::engine
{

using idempotency::BeginResult;
using idempotency::Fingerprint;
using idempotency::KeyDecision;

void Engine::beginKeyed(HeldRequest &request, base::TimePoint now)
{
    const Fingerprint fingerprint{request.fingerprint};
    std::optional<BeginResult> sealed = m_sealedKeys.answer(request.key, fingerprint, now);
    const BeginResult result = sealed ? *sealed : m_keys.begin(request.key, fingerprint, request.id, now, request.repeat);
    switch (result.decision) {
    case KeyDecision::Run:
        admit(request, now);
        return;
    case KeyDecision::NeedsClaim:
        request.stage = RequestStage::Claiming;
        m_commands.emplace_back(ClaimKey{request.id, request.key, result.claimId, std::min(m_options.claimTimeout, request.deadline - now)});
        return;
    case KeyDecision::Wait:
        request.stage = RequestStage::Waiting;
        return;
    case KeyDecision::Replay:
        m_commands.emplace_back(Replay{request.id, result.response});
        release(request);
        return;
    case KeyDecision::NotRun:
        reject(request, 503, Outcome::NotRun, m_keys.sealed() ? RejectReason::Stopping : RejectReason::UpstreamFailed, now);
        return;
    case KeyDecision::Unknown:
        reject(request, 502, Outcome::Unknown, RejectReason::OutcomeLost, now);
        return;
    case KeyDecision::Full:
        reject(request, 503, result.provedNotRun ? Outcome::NotRun : Outcome::Unknown, RejectReason::RecordsFull, now);
        return;
    case KeyDecision::TooManyWaiters:
        reject(request, 503, Outcome::Unknown, RejectReason::RecordsFull, now);
        return;
    case KeyDecision::NotOwner:
        relayToOwner(request, result.owner, now);
        return;
    case KeyDecision::Mismatch:
        // `not-run` could be misread as a statement about the request that has the key.
        reject(request, 422, Outcome::Unknown, RejectReason::KeyMismatch, now);
        return;
    case KeyDecision::Invalid:
        reject(request, 400, Outcome::NotRun, RejectReason::KeyInvalid, now);
        return;
    }
}

std::vector<base::IncarnationId> keyHolders(base::IncarnationId issuer, std::span<const base::IncarnationId> staying)
{
    constexpr std::size_t choices = 2; // the second takes the table if the first has no room
    return steering::rendezvousChoice(staying, "keys:" + base::toHex(issuer), choices);
}

/// The issuer of a key, or the member that has received its key table if the issuer is no longer alive.
const EntryMember *Engine::relayTarget(base::IncarnationId owner) const
{
    std::vector<base::IncarnationId> staying;
    for (const EntryMember &member : m_members) {
        if (member.alive && member.incarnation == owner) {
            return &member;
        }
        if (member.alive && !member.leaving) {
            staying.push_back(member.incarnation);
        }
    }
    for (const base::IncarnationId holder : keyHolders(owner, staying)) {
        if (holder != m_options.incarnation) { // this instance has already searched the tables that it holds
            return &*std::find_if(m_members.begin(), m_members.end(), [holder](const EntryMember &member) {
                return member.incarnation == holder;
            });
        }
    }
    return nullptr;
}

void Engine::relayToOwner(HeldRequest &request, base::IncarnationId owner, base::TimePoint now)
{
    const EntryMember *target = relayTarget(owner);
    request.key.clear(); // the key table of this instance has no record of it
    if (request.relayed || target == nullptr || request.deadline <= now) {
        reject(request, 503, Outcome::Unknown, RejectReason::IssuerUnreachable, now);
        return;
    }
    request.stage = RequestStage::Relaying;
    m_commands.emplace_back(Relay{request.id, target->callerAddress, request.deadline - now});
}

void Engine::on(RelayEnded &event, base::TimePoint now)
{
    HeldRequest *request = find(event.id);
    if (request == nullptr || request->stage != RequestStage::Relaying) {
        return;
    }
    if (event.responded) {
        release(*request);
        return;
    }
    reject(*request, 503, Outcome::Unknown, RejectReason::IssuerUnreachable, now);
}

void Engine::on(ClaimEnded &event, base::TimePoint now)
{
    HeldRequest *request = find(event.id);
    if (request == nullptr || request->stage != RequestStage::Claiming) {
        return;
    }
    switch (event.result) {
    case ClaimResult::Won:
        m_keys.claimWon(request->key, request->id);
        if (request->callerDisconnected || request->deadline <= now) {
            endKeyed(m_keys.expire(request->key, request->id, now), RejectReason::DeadlinePassed, now);
            return;
        }
        admit(*request, now);
        return;
    case ClaimResult::Taken:
        endKeyed(m_keys.claimTaken(request->key, request->id, now), RejectReason::ClaimTaken, now);
        return;
    case ClaimResult::Unavailable:
        endKeyed(m_keys.claimUnavailable(request->key, request->id, now), RejectReason::ClaimUnavailable, now);
        return;
    }
}

void Engine::endKeyed(const idempotency::KeyResolution &ending, RejectReason reason, base::TimePoint now)
{
    const std::uint16_t status = reason == RejectReason::DeadlinePassed ? 504 : reason == RejectReason::UpstreamFailed ? 502 : 503;
    for (const idempotency::RequestOutcome &told : ending.outcomes) {
        HeldRequest *request = find(told.id);
        if (request == nullptr) {
            continue;
        }
        if (told.outcome == idempotency::Outcome::Replay) {
            m_commands.emplace_back(Replay{told.id, ending.response});
            release(*request);
            continue;
        }
        reject(*request, status, told.outcome == idempotency::Outcome::NotRun ? Outcome::NotRun : Outcome::Unknown, reason, now);
    }
}

void Engine::withdrawKey(HeldRequest &request, base::TimePoint now)
{
    const idempotency::WithdrawResult withdrawn = m_keys.withdraw(request.key, request.id, now);
    if (withdrawn.kind == idempotency::Withdrawal::HandedOver) {
        if (HeldRequest *next = find(*withdrawn.next)) {
            admit(*next, now);
        }
    }
}

void Engine::expireWaiting(base::TimePoint now)
{
    std::vector<base::RequestId> expired;
    for (const auto &[id, request] : m_requests) {
        if (request.stage == RequestStage::Waiting && request.deadline <= now) {
            expired.push_back(id);
        }
    }
    std::sort(expired.begin(), expired.end()); // the same order on every run, unlike that of the hash map
    for (const base::RequestId id : expired) {
        HeldRequest *request = find(id);
        if (request != nullptr && request->stage == RequestStage::Waiting) {
            withdrawKey(*request, now);
            reject(*request, 504, Outcome::Unknown, RejectReason::DeadlinePassed, now);
        }
    }
}

} // namespace trefoilstile::engine
