// Steps of the key model: actions of instances, network, store, upstream and callers.

#include "key_model.hpp"

#include <algorithm>

#include "trefoilstile/idempotency/error.hpp"

namespace trefoilstile::idempotency::model
{

Model::Instance *Model::find(base::IncarnationId incarnation)
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(), [&](const Instance &i) {
        return i.incarnation == incarnation;
    });
    return found == m_instances.end() ? nullptr : &*found;
}

void Model::replace(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.sealedTables = SealedTables();
    instance.requests.clear();
    instance.incarnation = {m_nextId++};
    instance.table.emplace(KeyIssuer(instance.incarnation, m_now), KeyTableOptions{.maximumRecords = 4, .maximumRefusals = 3, .maximumWaiters = 2});
}

void Model::send(std::uint32_t a, std::uint32_t b)
{
    std::string &key = m_keys[a % s_keys];
    Instance &instance = m_instances[b % s_instances];
    if (key.empty() || (b >> 8U) % 8 == 0) {
        const bool issued = a % 2 == 0;
        key = issued ? KeyIssuer(instance.incarnation, m_now).prefixFor(m_now, m_nextId++) + "s" : "own-" + std::to_string(m_nextId++);
    }
    Message message{.to = m_instances[(b >> 4U) % s_instances].incarnation, .attempt = {key, m_attemptsSent[key]++}};
    m_network.push_back(message);
}

void Model::deliver(std::uint32_t a, std::uint32_t b)
{
    if (m_network.empty()) {
        return;
    }
    const auto position = m_network.begin() + static_cast<std::ptrdiff_t>(a % m_network.size());
    const Message message = *position;
    // Requests, replies and sealed tables may be delivered twice. A request to an upstream or the store uses a connection of
    // its own and is delivered at most once.
    const bool internal = message.kind == Kind::Request || message.kind == Kind::Reply || message.kind == Kind::Sealed;
    if (!internal || b % 8 != 0) {
        m_network.erase(position);
    }
    const auto onFarSide = [&](base::IncarnationId id) {
        return find(id) != nullptr && ((m_partition >> (find(id) - m_instances.data())) & 1U) != 0;
    };
    if (message.from.value != 0 && message.to.value != 0 && onFarSide(message.from) != onFarSide(message.to)) {
        return;
    }
    if (message.kind == Kind::Upstream) {
        upstream(message, b);
    } else if (message.kind == Kind::Claim) {
        claim(message);
    } else if (message.kind == Kind::Reply) {
        receiveReply(message);
    } else if (Instance *instance = find(message.to)) {
        arrive(*instance, message);
    }
}

void Model::arrive(Instance &instance, const Message &message)
{
    const auto &[key, number] = message.attempt;
    if (message.kind == Kind::Sealed) {
        for (const SealedPart &part : message.parts) {
            instance.sealedTables.import(part, m_now);
        }
        return;
    }
    if (message.kind == Kind::ClaimReply || message.kind == Kind::UpstreamReply) {
        const auto found = instance.requests.find(message.request.value);
        if (found == instance.requests.end()) {
            return;
        }
        if (message.kind == Kind::ClaimReply && found->second.stage == Stage::Claiming) {
            if (message.won) {
                instance.table->claimWon(key, message.request);
                found->second.stage = Stage::Queued;
            } else {
                end(instance, instance.table->claimTaken(key, message.request, m_now));
            }
        } else if (message.kind == Kind::UpstreamReply && found->second.stage == Stage::Sent) {
            if (message.outcome == Outcome::NotRun) {
                end(instance, instance.table->markNotRun(key, message.request, m_now));
            } else {
                sendReply(message.attempt, Outcome::Replay, message.response);
                instance.requests.erase(found);
                end(instance, instance.table->complete(key, message.request, message.response, m_now));
            }
        }
        return;
    }
    const base::RequestId id{m_nextId++};
    auto result = instance.sealedTables.answer(key, s_fingerprint, m_now);
    if (!result) {
        result = instance.table->begin(key, s_fingerprint, id, m_now, repeat(message.attempt));
    }
    ++decisions[result->decision];
    switch (result->decision) {
    case KeyDecision::Run:
        instance.requests[id.value] = {message.attempt, Stage::Queued};
        break;
    case KeyDecision::Wait:
        instance.requests[id.value] = {message.attempt, Stage::Waiting};
        break;
    case KeyDecision::NeedsClaim:
        instance.requests[id.value] = {message.attempt, Stage::Claiming};
        m_network.push_back({.kind = Kind::Claim, .from = instance.incarnation, .attempt = message.attempt, .request = id, .claimId = result->claimId});
        break;
    case KeyDecision::NotOwner:
        if (message.relayed || !find(result->owner)) {
            if (m_fault == Fault::RunsForeignKeys) {
                m_network.push_back({.kind = Kind::Upstream, .from = instance.incarnation, .attempt = message.attempt, .request = id});
            }
            sendReply(message.attempt, m_fault == Fault::ForeignNotRun ? Outcome::NotRun : Outcome::Unknown);
        } else {
            m_network.push_back({.from = instance.incarnation, .to = result->owner, .attempt = message.attempt, .relayed = true});
        }
        break;
    case KeyDecision::Replay:
        sendReply(message.attempt, Outcome::Replay, result->response);
        break;
    case KeyDecision::NotRun:
        if (m_fault == Fault::RunsAfterSealing && instance.table->sealed()) {
            m_network.push_back({.kind = Kind::Upstream, .from = instance.incarnation, .attempt = message.attempt, .request = id});
        }
        sendReply(message.attempt, Outcome::NotRun);
        break;
    case KeyDecision::Full:
        sendReply(message.attempt, result->provedNotRun ? Outcome::NotRun : Outcome::Unknown);
        break;
    default:
        sendReply(message.attempt, Outcome::Unknown);
    }
}

/// Applies an action that an instance takes by itself to one of its requests.
void Model::act(Instance &instance, std::uint32_t a, std::uint32_t b)
{
    if (!instance.requests.empty()) {
        const auto position = std::next(instance.requests.begin(), static_cast<std::ptrdiff_t>(a % instance.requests.size()));
        actOn(instance, {position->first}, position->second, b);
    }
}

void Model::actOn(Instance &instance, base::RequestId id, Held &held, std::uint32_t b)
{
    const Attempt attempt = held.attempt;
    KeyTable &table = *instance.table;
    if (b % 16 == 0) {
        const WithdrawResult withdrawn = table.withdraw(attempt.key, id, m_now);
        if (withdrawn.kind != Withdrawal::Continues) {
            instance.requests.erase(id.value);
        }
        if (withdrawn.next) {
            instance.requests.at(withdrawn.next->value).stage = Stage::Queued;
        }
        return;
    }
    if (held.stage == Stage::Claiming && b % 4 == 1) {
        KeyResolution resolution = table.claimUnavailable(attempt.key, id, m_now);
        if (m_fault == Fault::NotRunAfterUnavailableClaim) {
            for (RequestOutcome &request : resolution.outcomes) {
                request.outcome = Outcome::NotRun;
            }
        }
        end(instance, resolution);
    } else if (held.stage == Stage::Queued && b % 4 == 1) {
        const KeyResolution resolution = table.expire(attempt.key, id, m_now);
        held.stage = Stage::Expired; // the sender still has it and may try to send it
        end(instance, resolution);
    } else if (held.stage == Stage::Queued || held.stage == Stage::Expired) {
        const bool expired = held.stage == Stage::Expired;
        try {
            table.markSent(attempt.key, id);
            held.stage = Stage::Sent;
        } catch (const Error &) {
            instance.requests.erase(id.value);
            if (m_fault != Fault::SendsExpired) {
                return;
            }
        }
        if (expired && m_fault != Fault::SendsExpired) {
            violation = "an expired request was marked as sent";
        }
        m_network.push_back({.kind = Kind::Upstream, .from = instance.incarnation, .attempt = attempt, .request = id});
    } else if (held.stage == Stage::Sent && b % 4 == 1) {
        end(instance, table.markOutcomeUnknown(attempt.key, id, m_now));
    }
}

void Model::end(Instance &instance, const KeyResolution &resolution)
{
    for (const RequestOutcome &request : resolution.outcomes) {
        const auto found = instance.requests.find(request.id.value);
        if (found == instance.requests.end()) {
            continue;
        }
        sendReply(found->second.attempt, request.outcome, resolution.response);
        if (found->second.stage != Stage::Expired) {
            instance.requests.erase(found);
        }
    }
}

/// Planned stop: seals the table and, once no request is in progress, sends it to peers; then the process may end.
void Model::stop(Instance &instance, std::uint32_t b)
{
    instance.table->seal();
    if (instance.table->inProgress() != 0) {
        return;
    }
    const auto parts = instance.table->exportSealed(m_now, 200);
    for (std::size_t i = 0; i < s_instances; ++i) {
        if (&m_instances[i] != &instance && ((b >> i) & 1U) != 0) {
            m_network.push_back({.kind = Kind::Sealed, .from = instance.incarnation, .to = m_instances[i].incarnation, .parts = parts});
        }
    }
    if ((b >> 8U) % 2 == 0) {
        replace(static_cast<std::size_t>(&instance - m_instances.data()));
    }
}

void Model::run(const Attempt &attempt)
{
    auto &runs = m_runs[attempt.key];
    runs.push_back(attempt.number);
    if (runs.size() > 1) {
        violation = "key " + attempt.key + " ran twice";
    }
    const auto answered = m_answeredNotRun.find(attempt.key);
    if (!allowLateRuns && answered != m_answeredNotRun.end() && attempt.number <= answered->second) {
        violation = "attempt " + std::to_string(attempt.number) + " of " + attempt.key + " ran after not-run was answered";
    }
}

void Model::upstream(const Message &message, std::uint32_t b)
{
    Message reply{.kind = Kind::UpstreamReply, .to = message.from, .attempt = message.attempt, .request = message.request, .outcome = Outcome::NotRun};
    if ((b >> 4U) % 4 != 0) {
        run(message.attempt);
        reply.outcome = Outcome::Replay;
        reply.response = std::make_shared<StoredResponse>(StoredResponse{200, "text/plain", message.attempt.key});
    }
    m_network.push_back(reply);
}

void Model::claim(const Message &message)
{
    if (!m_storeUp) {
        return;
    }
    const bool won = m_claims.try_emplace(message.attempt.key, message.claimId).first->second == message.claimId;
    m_network.push_back({.kind = Kind::ClaimReply, .to = message.from, .attempt = message.attempt, .request = message.request, .won = won});
}

bool Model::ranUpTo(const Attempt &attempt) const
{
    const auto found = m_runs.find(attempt.key);
    return found != m_runs.end() && std::any_of(found->second.begin(), found->second.end(), [&](std::uint32_t ran) {
        return ran <= attempt.number;
    });
}

void Model::sendReply(const Attempt &attempt, Outcome outcome, const StoredResponsePointer &response)
{
    if (outcome == Outcome::NotRun && ranUpTo(attempt)) {
        violation = "attempt " + std::to_string(attempt.number) + " of " + attempt.key + " was answered not-run after it ran";
    }
    m_network.push_back({.kind = Kind::Reply, .attempt = attempt, .outcome = outcome, .response = response});
}

void Model::receiveReply(const Message &message)
{
    const auto &[key, number] = message.attempt;
    const auto &runs = m_runs[key];
    if (message.outcome == Outcome::Replay && (runs.empty() || !message.response || message.response->body != key)) {
        violation = "a response of another request was replayed for " + key;
    }
    if (message.outcome == Outcome::NotRun) {
        const auto answered = m_answeredNotRun.try_emplace(key, number).first;
        answered->second = std::max(answered->second, number);
        if (!allowLateRuns && ranUpTo(message.attempt)) {
            violation = "attempt " + std::to_string(number) + " of " + key + " received not-run after it ran";
        }
    }
}

void Model::apply(const Step &step)
{
    Instance &instance = m_instances[step.b % s_instances];
    switch (step.kind % 32) {
    case 0:
        replace(step.b % s_instances); // killed, and replaced by a new incarnation
        break;
    case 1:
        stop(instance, step.a);
        break;
    case 2:
        m_partition = step.a % 3 == 0 ? step.b % 16 : 0;
        break;
    case 3:
        m_storeUp = step.a % 2 == 0;
        break;
    case 4:
        m_now += std::chrono::seconds(step.a % 300);
        break;
    case 5:
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(step.a % m_network.size()));
        }
        break;
    default:
        if (step.kind % 32 < 12) {
            send(step.a, step.b);
        } else if (step.kind % 32 < 18) {
            act(instance, step.a, step.b >> 2U);
        } else {
            deliver(step.a, step.b);
        }
    }
}

} // namespace trefoilstile::idempotency::model
