// One run of a policy in virtual time: callers, entry instances with their own schedulers and upstream sets, and the
// fake upstreams that they share.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "fake_upstream.hpp"
#include "policy.hpp"
#include "result.hpp"
#include "scenario.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/retry/retry_budget.hpp"
#include "trefoilstile/retry/retry_policy.hpp"

namespace trefoilstile::bench
{

/// Runs the scenario with one policy. The same seed gives the same arrivals for every policy.
RunResult run(const Deployment &deployment, const Scenario &scenario, const Policy &policy, std::uint64_t seed);

class World
{
public:
    World(const Deployment &deployment, const Scenario &scenario, const Policy &policy, std::uint64_t seed);

    RunResult run();

private:
    enum class EventKind : std::uint8_t { Arrival, Return, AtUpstream, ServiceEnd, Timeout, Result, Tick, Report, Fault, Drains };

    struct Event {
        base::TimePoint at;
        std::uint64_t sequence; // order of events at the same time
        EventKind kind;
        std::uint64_t subject;
        std::uint64_t detail;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct Request {
        admission::QueuedRequest queued;
        std::uint32_t instance{};
        std::uint32_t phase{};
        std::uint32_t attempts{};
        base::TimePoint firstArrival;
        std::vector<std::size_t> tried;
    };

    struct Attempt {
        std::uint64_t request{};
        std::uint32_t upstream{};
        base::PriorityClass priorityClass = base::PriorityClass::Bulk;
        upstream::Choice choice;
        base::TimePoint startedAt;
        base::TimePoint deadline;
        base::TimePoint firstByteAt; // zero until the upstream has begun to serve it
        engine::AttemptResult result = engine::AttemptResult::Completed;
        bool running = false; // holds a slot of the upstream
        bool ended = false; // its result is on the way to the instance
        bool leavingHeader = false;
    };

    struct Instance {
        std::uint32_t domain{};
        std::unique_ptr<SchedulerPolicy> scheduler;
        std::unique_ptr<upstream::UpstreamSet> set;
        Selection selection;
        std::vector<upstream::DomainIndex> domains;
        retry::RetryBudget budget;
    };

    // world.cpp: time, callers and results
    void schedule(base::TimePoint at, EventKind kind, std::uint64_t subject = 0, std::uint64_t detail = 0);
    void handle(const Event &event);
    void startPhase(std::uint32_t phase);
    void scheduleArrival(base::PriorityClass priorityClass);
    void arrive(base::PriorityClass priorityClass);
    void offer(const Request &request);
    void reject(const Request &request, bool expired);
    void tick();
    base::Duration exponential(base::Duration mean, base::SplitMix64 &random) const;
    base::Duration latency(std::uint32_t fromDomain, std::uint32_t toDomain) const;

    // world_instances.cpp: what an entry instance does
    void setUpInstances();
    void pump(std::uint32_t instance);
    bool send(std::uint32_t instance, const admission::StartedRequest &started);
    void finish(std::uint64_t attempt);
    void afterAttempt(std::uint32_t instance, const Attempt &ended);
    void reportTo(std::uint32_t instance);

    // world_upstreams.cpp: what an upstream does
    void setUpUpstreams();
    void reachUpstream(std::uint64_t attempt);
    void serve(std::uint64_t attempt);
    void endService(std::uint64_t attempt);
    void serveWaiting(FakeUpstream &upstream);
    void endAttempt(std::uint64_t attempt, engine::AttemptResult result);
    void timeOut(std::uint64_t attempt);
    void applyFault(const Fault &fault);
    void kill(FakeUpstream &upstream, UpstreamFault fault);
    void replace(FakeUpstream &upstream);
    void deliverDrains(std::uint32_t instance);

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    const Policy &m_policy;
    base::SplitMix64 m_arrivalRandom; // for arrivals only, so that every policy gets the same
    base::SplitMix64 m_random;
    base::TimePoint m_now{std::chrono::hours(1)};
    base::TimePoint m_start = m_now;
    std::uint64_t m_sequence{};
    std::priority_queue<Event> m_events;
    std::uint32_t m_phase{};
    std::vector<base::TimePoint> m_phaseEnds;
    std::vector<Instance> m_instances;
    std::vector<FakeUpstream> m_upstreams;
    std::unordered_map<std::uint64_t, Request> m_requests; // queued, running or to be retried
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_lastId{};
    retry::RetryPolicy m_retryPolicy;
    base::Duration m_reportLag = std::chrono::milliseconds(500);
    bool m_reportsStopped = false;
    std::vector<std::uint64_t> m_ticks; // of each phase
    RunResult m_result;
};

} // namespace trefoilstile::bench
