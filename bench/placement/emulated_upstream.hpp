// An upstream in virtual time: slots, a bounded queue, objects kept warm.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>

#include "scenario.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::bench::placement
{

/// Events in virtual time, in order of their times, then of their scheduling.
class VirtualClock
{
public:
    base::TimePoint now() const
    {
        return m_now;
    }

    void at(base::TimePoint time, std::function<void()> event);

    /// Plays events up to the time.
    void runUntil(base::TimePoint end);

private:
    base::TimePoint m_now{std::chrono::hours(1)};
    std::multimap<base::TimePoint, std::function<void()>> m_events;
};

/// One request at an upstream.
struct Job {
    std::uint64_t object{};
    base::Duration coldWork{};
    base::TimePoint deadline;
    std::function<void(ingress::AttemptVerdict, ingress::ReportedLoad, bool cold)> ended; ///< called once
};

class EmulatedUpstream
{
public:
    EmulatedUpstream(VirtualClock &clock, const EmulatedService &service, double warmPart, std::uint64_t seed);

    void receive(Job job);

    double slowness = 1; ///< multiple of the usual time of work

private:
    void start(Job job);
    void startWaiting();
    bool touch(std::uint64_t object);
    ingress::ReportedLoad load() const;

    VirtualClock &m_clock;
    const EmulatedService &m_service;
    double m_warmPart;
    base::SplitMix64 m_random;
    double m_speed; ///< upstreams of one service differ
    std::uint32_t m_running{};
    std::deque<Job> m_waiting;
    std::list<std::uint64_t> m_warm; ///< most recently used first
};

} // namespace trefoilstile::bench::placement
