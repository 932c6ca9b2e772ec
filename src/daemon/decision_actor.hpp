// Actor of the decision thread: runs the engine and controls a planned stop.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/ring.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/engine/engine.hpp"

namespace trefoilstile::daemon
{

/// Rings to which the decision thread writes.
struct DecisionOutputs {
    Ring<CallerInput> *callers = nullptr;
    Ring<PlatformInput> *platform = nullptr;
    Ring<PeerInput> *peers = nullptr;
    Ring<ReportInput> *reports = nullptr;
};

class DecisionActor
{
public:
    /// @param stopped called once when a planned stop has completed
    DecisionActor(boost::asio::io_context &context, engine::EngineOptions options, DecisionOutputs outputs, std::function<void()> stopped);

    /// Starts the periodic tick.
    void start();

    /// Handles one message from another thread.
    void handle(DecisionInput input);

    const idempotency::KeyIssuer &keyIssuer() const;

private:
    /// Steps of a planned stop, in order.
    enum class StopStep { Running, Draining, Finishing, HandingOff, Done };

    struct Timing {
        base::TimePoint arrival;
        std::string service;
        base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    };

    void handleEvent(engine::Event event);
    void handleCommand(engine::Command command, base::TimePoint now);
    void recordForward(const engine::Forward &forward, base::TimePoint now);
    void recordEnd(base::RequestId id, const char *metric, base::TimePoint now);
    void publish();
    void publishDocument();
    void publishEffectiveState(base::TimePoint now);
    void tick();
    void reportStatus(base::TimePoint now);
    void beginStop(base::TimePoint now);
    void advanceStop(base::TimePoint now);
    void importKeys(const KeysOffered &offered);
    void endStop(bool keysHandedOff);
    void sample(const ReportInput &input);

    boost::asio::steady_timer m_timer;
    std::string m_environment;
    engine::Engine m_engine;
    DecisionOutputs m_outputs;
    std::function<void()> m_stopped;

    std::shared_ptr<const routing::EntryTable> m_published; // last table sent to the caller I/O thread
    base::Generation m_publishedGeneration;
    std::optional<EffectiveState> m_publishedState; // last state sent to the peer thread
    base::TimePoint m_nextStatus;
    base::TimePoint m_nextCapacity;
    std::uint64_t m_publishedGrants = 0;
    std::unordered_map<base::RequestId, Timing> m_timings; // of held requests

    StopStep m_stopStep = StopStep::Running;
    base::TimePoint m_handoffDeadline;
    base::TimePoint m_drainedAt; // when all cached lookup responses that name this instance have expired
    std::optional<CallerPortWork> m_work; // last report; empty until the caller port stopped accepting connections
};

} // namespace trefoilstile::daemon
