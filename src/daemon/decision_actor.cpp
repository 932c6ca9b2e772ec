// Passes events to the engine and forwards its commands, tables and statistics to the other threads.

#include "decision_actor.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(10);
constexpr base::Duration s_statusPeriod = std::chrono::milliseconds(200);
constexpr base::Duration s_capacityPeriod = std::chrono::seconds(1); // same period as load polling

/// Time allowed for other instances to receive the leaving announcement and stop returning this one in lookup responses.
constexpr base::Duration s_leavingNotice = std::chrono::seconds(3);

/// Time limit of the key table handoff: 64 MiB at 50 Mbit/s. After a failed handoff, keys are answered as unknown, which is safe.
constexpr base::Duration s_handoffTime = std::chrono::seconds(10);

} // namespace

DecisionActor::DecisionActor(boost::asio::io_context &context, engine::EngineOptions options, DecisionOutputs outputs, std::function<void()> stopped)
    : m_timer(context)
    , m_environment(options.environment)
    , m_engine(std::move(options), http::now())
    , m_outputs(outputs)
    , m_stopped(std::move(stopped))
{
}

const idempotency::KeyIssuer &DecisionActor::keyIssuer() const
{
    return m_engine.keyIssuer();
}

void DecisionActor::start()
{
    tick();
}

void DecisionActor::handle(DecisionInput input)
{
    if (auto *event = std::get_if<engine::Event>(&input)) {
        handleEvent(std::move(*event));
    } else if (const auto *work = std::get_if<CallerPortWork>(&input)) {
        m_work = *work;
    } else if (const auto *offered = std::get_if<KeysOffered>(&input)) {
        importKeys(*offered);
    } else if (const auto *handedOff = std::get_if<KeysHandedOff>(&input)) {
        endStop(handedOff->complete);
    } else {
        beginStop(http::now());
    }
}

void DecisionActor::handleEvent(engine::Event event)
{
    const base::TimePoint now = http::now();
    if (const auto *arrival = std::get_if<engine::RequestArrived>(&event)) {
        m_timings[arrival->id].arrival = now;
    } else if (const auto *ended = std::get_if<engine::AttemptEnded>(&event)) {
        if (ended->result == engine::AttemptResult::Completed) {
            recordEnd(ended->id, "trefoilstile_request_seconds", now);
        }
    } else if (const auto *relayed = std::get_if<engine::RelayEnded>(&event)) {
        if (relayed->responded) {
            recordEnd(relayed->id, nullptr, now);
        }
    }
    m_engine.handle(std::move(event), now, [this, now](engine::Command command) {
        handleCommand(std::move(command), now);
    });
    publish();
}

void DecisionActor::handleCommand(engine::Command command, base::TimePoint now)
{
    if (const auto *claim = std::get_if<engine::ClaimKey>(&command)) {
        if (!m_outputs.platform->tryPush(*claim)) {
            m_engine.handle(engine::ClaimEnded{claim->id, engine::ClaimResult::Unavailable}, now, [this, now](engine::Command next) {
                handleCommand(std::move(next), now);
            });
        }
        return;
    }
    if (const auto *forward = std::get_if<engine::Forward>(&command)) {
        recordForward(*forward, now);
    } else if (const auto *reject = std::get_if<engine::Reject>(&command)) {
        sample(CountSample{"trefoilstile_rejected_total", std::string(engine::toString(reject->reason))});
        m_timings.erase(reject->id);
    } else if (const auto *replay = std::get_if<engine::Replay>(&command)) {
        m_timings.erase(replay->id);
    } else if (const auto *truncate = std::get_if<engine::Truncate>(&command)) {
        sample(CountSample{"trefoilstile_truncated_total", {}});
        m_timings.erase(truncate->id);
    } else if (const auto *discard = std::get_if<engine::Discard>(&command)) {
        m_timings.erase(discard->id);
    }
    m_outputs.callers->push(std::move(command));
}

void DecisionActor::recordForward(const engine::Forward &forward, base::TimePoint now)
{
    const auto timing = m_timings.find(forward.id);
    if (timing == m_timings.end() || !timing->second.service.empty()) {
        return; // a later attempt: the queue time ends with the first one
    }
    timing->second.service = forward.service;
    timing->second.priorityClass = forward.priorityClass;
    sample(LatencySample{"trefoilstile_queue_seconds", forward.service, forward.priorityClass, now - timing->second.arrival});
}

void DecisionActor::recordEnd(base::RequestId id, const char *metric, base::TimePoint now)
{
    const auto timing = m_timings.find(id);
    if (timing == m_timings.end()) {
        return;
    }
    if (metric != nullptr) {
        sample(LatencySample{metric, timing->second.service, timing->second.priorityClass, now - timing->second.arrival});
    }
    m_timings.erase(timing);
}

void DecisionActor::sample(const ReportInput &input)
{
    m_outputs.reports->tryPush(input); // samples are dropped on a full ring, so that requests do not wait for reporting
}

void DecisionActor::publish()
{
    if (m_engine.entryTable() != m_published) {
        m_published = m_engine.entryTable();
        m_outputs.callers->push(LookupTable{m_published});
        if (m_engine.generation() != m_publishedGeneration) {
            publishDocument();
        }
        reportStatus(http::now());
    }
    if (m_engine.grantsVersion() != m_publishedGrants) {
        m_publishedGrants = m_engine.grantsVersion();
        m_outputs.callers->push(PlacedGrants{m_engine.grants()});
    }
    publishEffectiveState(http::now());
}

void DecisionActor::publishEffectiveState(base::TimePoint now)
{
    EffectiveState state{
        m_engine.generation(), m_engine.drainGeneration(), m_stopStep != StopStep::Running, m_publishedState ? m_publishedState->spareCapacity : std::nullopt};
    if (now >= m_nextCapacity) {
        m_nextCapacity = now + s_capacityPeriod;
        const std::optional<double> spare = m_engine.spareCapacity(now);
        state.spareCapacity = spare ? std::optional(static_cast<std::uint32_t>(*spare)) : std::nullopt;
    }
    if (m_publishedState != state && m_outputs.peers->tryPush(state)) {
        m_publishedState = state;
    }
}

void DecisionActor::publishDocument()
{
    m_publishedGeneration = m_engine.generation();
    DocumentSettings settings;
    for (const document::Service &service : m_published->document().services) {
        settings.bodyLimit = std::max(settings.bodyLimit, service.maximumBody);
        for (const document::Upstream &upstream : service.upstreams) {
            if (const std::string *address = document::addressIn(upstream, m_environment)) {
                settings.loadTargets.push_back({upstream.name, *address});
            }
        }
    }
    m_outputs.callers->push(std::move(settings));
    log("decisions", "Document generation {} is in effect.", m_publishedGeneration.value);
}

void DecisionActor::tick()
{
    const base::TimePoint now = http::now();
    m_engine.tick(now, [this, now](engine::Command command) {
        handleCommand(std::move(command), now);
    });
    publish();
    if (now >= m_nextStatus) {
        reportStatus(now);
    }
    advanceStop(now);
    m_timer.expires_after(s_tickPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void DecisionActor::reportStatus(base::TimePoint now)
{
    m_nextStatus = now + s_statusPeriod;
    sample(DecisionStatus{m_engine.generation(), m_engine.documentHash(), m_engine.drainGeneration(), m_engine.leaving(), m_engine.statistics(), m_published});
}

void DecisionActor::beginStop(base::TimePoint now)
{
    if (m_stopStep != StopStep::Running) {
        log("decisions", "A planned stop is already in progress.");
        return;
    }
    m_stopStep = StopStep::Draining;
    base::Duration longestTtl{};
    if (m_published) {
        const document::LookupPolicy &lookup = m_published->document().lookup;
        longestTtl = std::chrono::duration_cast<base::Duration>(lookup.ttl * (1 + lookup.jitter)) + s_leavingNotice;
    }
    m_drainedAt = now + longestTtl;
    log("decisions", "Planned stop: lookups no longer return this instance; new requests are accepted for another {} ms.", base::toMilliseconds(longestTtl));
    handleEvent(engine::StopRequested{});
    m_outputs.callers->push(AnnounceStop{});
}

void DecisionActor::advanceStop(base::TimePoint now)
{
    if (m_stopStep == StopStep::Draining && now >= m_drainedAt) {
        m_stopStep = StopStep::Finishing;
        m_engine.sealKeys();
        m_outputs.callers->push(StopAccepting{});
        log("decisions", "Planned stop: no new connections are accepted; requests in progress continue.");
    }
    const bool idle = m_work && m_work->connections == 0 && m_work->requests == 0 && m_work->attempts == 0;
    if (m_stopStep == StopStep::Finishing && idle && m_engine.statistics().held == 0) {
        m_stopStep = StopStep::HandingOff;
        m_handoffDeadline = now + s_handoffTime;
        log("decisions", "Planned stop: all requests have ended; handing over the key table to a peer.");
        m_outputs.peers->push(HandOffKeys{std::make_shared<const std::vector<idempotency::SealedPart>>(m_engine.exportKeys(now))});
    }
    if (m_stopStep == StopStep::HandingOff && now >= m_handoffDeadline) {
        endStop(false);
    }
}

void DecisionActor::importKeys(const KeysOffered &offered)
{
    const idempotency::SealedTables::Import result = m_engine.importKeys(*offered.part, http::now());
    const bool stored = result == idempotency::SealedTables::Import::Stored || result == idempotency::SealedTables::Import::Duplicate;
    m_outputs.peers->push(KeysImported{offered.ticket, stored, stored && m_engine.holdsKeysOf(offered.part->incarnation)});
}

void DecisionActor::endStop(bool keysHandedOff)
{
    if (m_stopStep != StopStep::HandingOff) {
        return;
    }
    m_stopStep = StopStep::Done;
    log("decisions",
        "Planned stop: {}",
        keysHandedOff ? "a peer holds the complete key table." : "no peer accepted the complete key table; its keys are answered as unknown.");
    m_stopped();
}

} // namespace trefoilstile::daemon
