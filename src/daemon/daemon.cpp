// Wiring of the duties.

#include "trefoilstile/daemon/daemon.hpp"

#include <random>
#include <utility>

#include "caller_duty.hpp"
#include "decision_duty.hpp"
#include "peer_duty.hpp"
#include "platform_duty.hpp"
#include "reporting_duty.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/daemon/worker.hpp"

namespace trefoilstile::daemon
{

namespace
{

// Room for twice what held requests may leave unread, so that arrivals are refused before a running request is held up.
constexpr std::size_t s_requestRing = 2 * s_maximumRequests * s_entriesPerRequest;
constexpr std::size_t s_controlRing = 256; // documents, members, drains: a few a second
constexpr std::size_t s_claimRing = 1024; // claims beyond it are answered at once as unavailable
constexpr std::size_t s_reportRing = 8192; // samples beyond it are dropped

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

/// Members are built in order and destroyed in reverse; each ring outlives the threads at both of its ends, since `stop`
/// joins all threads first.
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

    template<typename Input, typename Duty>
    static std::function<void(Input)> into(Duty &duty)
    {
        return [&duty](Input input) {
            duty.take(std::move(input));
        };
    }

    base::IncarnationId incarnation;
    Worker callerWorker{"callers"};
    Worker decisionWorker{"decisions"};
    Worker peerWorker{"peers"};
    Worker platformWorker{"platform"};
    Worker reportWorker{"reports"};

    Ring<DecisionInput> callersToDecisions{s_requestRing, decisionWorker.context(), into<DecisionInput>(decisions)};
    Ring<DecisionInput> peersToDecisions{s_controlRing, decisionWorker.context(), into<DecisionInput>(decisions)};
    Ring<DecisionInput> platformToDecisions{s_claimRing, decisionWorker.context(), into<DecisionInput>(decisions)};
    Ring<DecisionInput> signalsToDecisions{s_controlRing, decisionWorker.context(), into<DecisionInput>(decisions)};
    Ring<CallerInput> decisionsToCallers{s_requestRing, callerWorker.context(), into<CallerInput>(callers)};
    Ring<PlatformInput> decisionsToPlatform{s_claimRing, platformWorker.context(), into<PlatformInput>(platform)};
    Ring<PlatformInput> peersToPlatform{s_controlRing, platformWorker.context(), into<PlatformInput>(platform)};
    Ring<PeerInput> decisionsToPeers{s_controlRing, peerWorker.context(), into<PeerInput>(peers)};
    Ring<PeerInput> platformToPeers{s_controlRing, peerWorker.context(), into<PeerInput>(peers)};
    Ring<ReportInput> decisionsToReports{s_reportRing, reportWorker.context(), into<ReportInput>(reports)};
    Ring<ReportInput> peersToReports{s_controlRing, reportWorker.context(), into<ReportInput>(reports)};
    Ring<ReportInput> platformToReports{s_controlRing, reportWorker.context(), into<ReportInput>(reports)};

    DecisionDuty decisions;
    CallerDuty callers;
    PlatformDuty platform;
    PeerDuty peers;
    ReportingDuty reports;
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
    // The platform thread may wait for the platform for seconds; it is joined last so that the others end meanwhile.
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
