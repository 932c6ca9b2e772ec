// Creates the threads, their actors and the ring buffers between them.

#include "trefoilstile/daemon/daemon.hpp"

#include <random>
#include <utility>

#include "caller_actor.hpp"
#include "decision_actor.hpp"
#include "peer_actor.hpp"
#include "platform_actor.hpp"
#include "reporting_actor.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/daemon/worker.hpp"

namespace trefoilstile::daemon
{

namespace
{

// Twice the entries that held requests can have unread, so that new requests are rejected before a running request is delayed.
constexpr std::size_t s_requestRingCapacity = 2 * s_maximumRequests * s_entriesPerRequest;
constexpr std::size_t s_controlRingCapacity = 256; // documents, members, drains: a few per second
constexpr std::size_t s_claimRingCapacity = 1024; // on a full ring, claims are answered immediately as unavailable
constexpr std::size_t s_reportRingCapacity = 8192; // on a full ring, samples are dropped

std::uint64_t randomBits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

engine::EngineOptions engineOptions(const Settings &settings, base::IncarnationId incarnation)
{
    engine::EngineOptions options;
    options.name = settings.name;
    options.environment = settings.environment;
    options.region = settings.region;
    options.failureDomain = settings.failureDomain;
    options.incarnation = incarnation;
    options.seed = randomBits();
    return options;
}

} // namespace

/// Members are constructed in order and destroyed in reverse. Each ring outlives its producer and consumer threads, since
/// `stop` joins all threads first.
struct Daemon::Threads {
    Threads(const Settings &settings, std::function<void()> stopped)
        : incarnation{randomBits()}
        , decisions(decisionWorker.context(),
              engineOptions(settings, incarnation),
              {&decisionsToCallers, &decisionsToPlatform, &decisionsToPeers, &decisionsToReports},
              std::move(stopped))
        , callers(callerWorker.context(), settings, decisions.keyIssuer(), randomBits(), callersToDecisions)
        , platform(settings, randomBits(), {&platformToDecisions, &platformToPeers, &platformToReports})
        , peers(peerWorker.context(), settings, incarnation, callers.address(), randomBits(), {&peersToDecisions, &peersToPlatform, &peersToReports})
        , reports(reportWorker.context(), settings, incarnation)
    {
    }

    template<typename Input, typename Actor>
    static std::function<void(Input)> handlerOf(Actor &actor)
    {
        return [&actor](Input input) {
            actor.handle(std::move(input));
        };
    }

    base::IncarnationId incarnation;
    Worker callerWorker{"callers"};
    Worker decisionWorker{"decisions"};
    Worker peerWorker{"peers"};
    Worker platformWorker{"platform"};
    Worker reportWorker{"reports"};

    Ring<DecisionInput> callersToDecisions{s_requestRingCapacity, decisionWorker.context(), handlerOf<DecisionInput>(decisions)};
    Ring<DecisionInput> peersToDecisions{s_controlRingCapacity, decisionWorker.context(), handlerOf<DecisionInput>(decisions)};
    Ring<DecisionInput> platformToDecisions{s_claimRingCapacity, decisionWorker.context(), handlerOf<DecisionInput>(decisions)};
    Ring<DecisionInput> signalsToDecisions{s_controlRingCapacity, decisionWorker.context(), handlerOf<DecisionInput>(decisions)};
    Ring<CallerInput> decisionsToCallers{s_requestRingCapacity, callerWorker.context(), handlerOf<CallerInput>(callers)};
    Ring<PlatformInput> decisionsToPlatform{s_claimRingCapacity, platformWorker.context(), handlerOf<PlatformInput>(platform)};
    Ring<PlatformInput> peersToPlatform{s_controlRingCapacity, platformWorker.context(), handlerOf<PlatformInput>(platform)};
    Ring<PeerInput> decisionsToPeers{s_controlRingCapacity, peerWorker.context(), handlerOf<PeerInput>(peers)};
    Ring<PeerInput> platformToPeers{s_controlRingCapacity, peerWorker.context(), handlerOf<PeerInput>(peers)};
    Ring<ReportInput> decisionsToReports{s_reportRingCapacity, reportWorker.context(), handlerOf<ReportInput>(reports)};
    Ring<ReportInput> peersToReports{s_controlRingCapacity, reportWorker.context(), handlerOf<ReportInput>(reports)};
    Ring<ReportInput> platformToReports{s_controlRingCapacity, reportWorker.context(), handlerOf<ReportInput>(reports)};

    DecisionActor decisions;
    CallerActor callers;
    PlatformActor platform;
    PeerActor peers;
    ReportingActor reports;
};

Daemon::Daemon(const Settings &settings, std::function<void()> stopped)
    : m_threads(std::make_unique<Threads>(settings, std::move(stopped)))
{
}

Daemon::~Daemon()
{
    stop();
}

void Daemon::start()
{
    log("daemon", "Incarnation {} serves callers at {}.", base::toHex(m_threads->incarnation), callerAddress());
    m_threads->decisions.start();
    m_threads->peers.start();
    for (Worker *worker :
        {&m_threads->reportWorker, &m_threads->platformWorker, &m_threads->decisionWorker, &m_threads->peerWorker, &m_threads->callerWorker}) {
        worker->start();
    }
}

void Daemon::beginPlannedStop()
{
    m_threads->signalsToDecisions.tryPush(StopSignal{});
}

void Daemon::stop()
{
    // A request to the platform can block the platform thread for seconds; it is joined last, so that the other threads are
    // stopped before that wait.
    for (Worker *worker :
        {&m_threads->callerWorker, &m_threads->decisionWorker, &m_threads->peerWorker, &m_threads->reportWorker, &m_threads->platformWorker}) {
        worker->stop();
    }
}

std::string Daemon::callerAddress() const
{
    return m_threads->callers.address();
}

std::string Daemon::peerAddress() const
{
    return m_threads->peers.address();
}

std::string Daemon::operatorAddress() const
{
    return m_threads->reports.address();
}

} // namespace trefoilstile::daemon
