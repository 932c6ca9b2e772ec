// Feeds the engine and passes on its commands, tables and figures.

#include "decision_duty.hpp"

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
constexpr base::Duration s_capacityPeriod = std::chrono::seconds(1); // load is polled as often

/// Time in which other instances learn that this one is leaving and stop naming it in lookup responses.
constexpr base::Duration s_leavingNotice = std::chrono::seconds(3);

/// For the handoff of the key table: 64 MiB at 50 Mbit/s. Without it, keys are answered as unknown, which is safe.
constexpr base::Duration s_handoffTime = std::chrono::seconds(10);

} // namespace

DecisionDuty::DecisionDuty(boost::asio::io_context &context, engine::EngineOptions options, DecisionOutputs outputs, std::function<void()> stopped)
    : m_timer(context)
    , m_environment(options.environment)
    , m_engine(std::move(options), http::now())
    , m_outputs(outputs)
    , m_stopped(std::move(stopped))
{
}

const idempotency::KeyIssuer &DecisionDuty::keyIssuer() const
{
    return m_engine.keyIssuer();
}

void DecisionDuty::start()
{
    tick();
}

void DecisionDuty::take(DecisionInput input)
{
    if (auto *event = std::get_if<engine::Event>(&input)) {
        takeEvent(std::move(*event));
    } else if (const auto *work = std::get_if<CallerWork>(&input)) {
        m_work = *work;
    } else if (const auto *offered = std::get_if<KeysOffered>(&input)) {
        importKeys(*offered);
    } else if (const auto *handedOff = std::get_if<KeysHandedOff>(&input)) {
        endStop(handedOff->complete);
    } else {
        beginStop(http::now());
    }
}

void DecisionDuty::takeEvent(engine::Event event)
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
        takeCommand(std::move(command), now);
    });
    publish();
}

void DecisionDuty::takeCommand(engine::Command command, base::TimePoint now)
{
    if (const auto *claim = std::get_if<engine::ClaimKey>(&command)) {
        if (!m_outputs.platform->tryPush(*claim)) {
            m_engine.handle(engine::ClaimEnded{claim->id, engine::ClaimResult::Unavailable}, now, [this, now](engine::Command next) {
                takeCommand(std::move(next), now);
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

void DecisionDuty::recordForward(const engine::Forward &forward, base::TimePoint now)
{
    const auto timing = m_timings.find(forward.id);
    if (timing == m_timings.end() || !timing->second.service.empty()) {
        return; // a later attempt: only the first ends the time in the queue
    }
    timing->second.service = forward.service;
    timing->second.priorityClass = forward.priorityClass;
    sample(LatencySample{"trefoilstile_queue_seconds", forward.service, forward.priorityClass, now - timing->second.arrival});
}

void DecisionDuty::recordEnd(base::RequestId id, const char *result, base::TimePoint now)
{
    const auto timing = m_timings.find(id);
    if (timing == m_timings.end()) {
        return;
    }
    if (result != nullptr) {
        sample(LatencySample{result, timing->second.service, timing->second.priorityClass, now - timing->second.arrival});
    }
    m_timings.erase(timing);
}

void DecisionDuty::sample(const ReportInput &input)
{
    m_outputs.reports->tryPush(input); // a figure may be lost, a request may not
}

void DecisionDuty::publish()
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
    announceInEffect(http::now());
}

void DecisionDuty::announceInEffect(base::TimePoint now)
{
    InEffect inEffect{
        m_engine.generation(), m_engine.drainGeneration(), m_stopStep != StopStep::Running, m_announced ? m_announced->spareCapacity : std::nullopt};
    if (now >= m_nextCapacity) {
        m_nextCapacity = now + s_capacityPeriod;
        const std::optional<double> spare = m_engine.spareCapacity(now);
        inEffect.spareCapacity = spare ? std::optional(static_cast<std::uint32_t>(*spare)) : std::nullopt;
    }
    if (m_announced != inEffect && m_outputs.peers->tryPush(inEffect)) {
        m_announced = inEffect;
    }
}

void DecisionDuty::publishDocument()
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

void DecisionDuty::tick()
{
    const base::TimePoint now = http::now();
    m_engine.tick(now, [this, now](engine::Command command) {
        takeCommand(std::move(command), now);
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

void DecisionDuty::reportStatus(base::TimePoint now)
{
    m_nextStatus = now + s_statusPeriod;
    sample(DecisionStatus{m_engine.generation(), m_engine.drainGeneration(), m_engine.leaving(), m_engine.statistics(), m_published});
}

void DecisionDuty::beginStop(base::TimePoint now)
{
    if (m_stopStep != StopStep::Running) {
        log("decisions", "A planned stop is under way already.");
        return;
    }
    m_stopStep = StopStep::Draining;
    base::Duration longestTtl{};
    if (m_published) {
        const document::LookupPolicy &lookup = m_published->document().lookup;
        longestTtl = std::chrono::duration_cast<base::Duration>(lookup.ttl * (1 + lookup.jitter)) + s_leavingNotice;
    }
    m_drainedAt = now + longestTtl;
    log("decisions", "Planned stop: lookups leave this instance out, requests are served for {} ms more.", base::toMilliseconds(longestTtl));
    takeEvent(engine::StopRequested{});
    m_outputs.callers->push(AnnounceStop{});
}

void DecisionDuty::advanceStop(base::TimePoint now)
{
    if (m_stopStep == StopStep::Draining && now >= m_drainedAt) {
        m_stopStep = StopStep::Finishing;
        m_engine.sealKeys();
        m_outputs.callers->push(StopAccepting{});
        log("decisions", "Planned stop: no new connections, requests in progress go on.");
    }
    const bool idle = m_work && m_work->connections == 0 && m_work->requests == 0 && m_work->attempts == 0;
    if (m_stopStep == StopStep::Finishing && idle && m_engine.statistics().held == 0) {
        m_stopStep = StopStep::HandingOff;
        m_handoffDeadline = now + s_handoffTime;
        log("decisions", "Planned stop: all requests have ended, the key table is handed to a peer.");
        m_outputs.peers->push(HandOffKeys{std::make_shared<const std::vector<idempotency::SealedPart>>(m_engine.exportKeys(now))});
    }
    if (m_stopStep == StopStep::HandingOff && now >= m_handoffDeadline) {
        endStop(false);
    }
}

void DecisionDuty::importKeys(const KeysOffered &offered)
{
    const idempotency::SealedTables::Import result = m_engine.importKeys(*offered.part, http::now());
    const bool stored = result == idempotency::SealedTables::Import::Stored || result == idempotency::SealedTables::Import::Duplicate;
    m_outputs.peers->push(KeysImported{offered.ticket, stored, stored && m_engine.holdsKeysOf(offered.part->incarnation)});
}

void DecisionDuty::endStop(bool keysHandedOff)
{
    if (m_stopStep != StopStep::HandingOff) {
        return;
    }
    m_stopStep = StopStep::Done;
    log("decisions", "Planned stop: {}", keysHandedOff ? "a peer holds the key table." : "no peer took the key table, its keys are answered as unknown.");
    m_stopped();
}

} // namespace trefoilstile::daemon
