// The policies under comparison, all behind one interface: which request starts next, and where it is sent.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/admission/class_scheduler.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace trefoilstile::bench
{

/// Which request of an instance starts next.
class SchedulerPolicy
{
public:
    virtual ~SchedulerPolicy() = default;
    virtual admission::Admission enqueue(const admission::QueuedRequest &request, base::TimePoint now, std::size_t slots) = 0;
    virtual std::optional<admission::StartedRequest> next(base::TimePoint now, std::size_t slots, const base::PerClass<bool> &startable) = 0;
    virtual std::vector<admission::QueuedRequest> expire(base::TimePoint now) = 0;
    virtual void requeue(const admission::QueuedRequest &request) = 0;
    virtual void finished(base::PriorityClass priorityClass, base::Duration held, base::Duration firstByte) = 0;
    virtual void cancelled(base::PriorityClass priorityClass) = 0;
    virtual double overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const = 0;
};

enum class SchedulerKind : std::uint8_t { Shares, Strict, Fifo };

enum class SelectionKind : std::uint8_t { PowerOfTwo, LeastOutstanding, LeastLoaded, RoundRobin };

/// One policy to be measured.
struct Policy {
    std::string name;
    std::string describes; ///< what it tells apart
    SchedulerKind scheduler = SchedulerKind::Shares;
    SelectionKind selection = SelectionKind::LeastOutstanding;
    admission::SchedulerOptions admission;
    upstream::UpstreamSetOptions upstreams;
    bool baseline = false;
};

/// All policies tried; the first is the default of the library.
std::vector<Policy> policies();

std::unique_ptr<SchedulerPolicy> makeScheduler(const Policy &policy);

/// Choice of an upstream by one of the selection policies.
class Selection
{
public:
    explicit Selection(SelectionKind kind)
        : m_kind(kind)
    {
    }

    std::optional<upstream::Choice> choose(upstream::UpstreamSet &set, const upstream::ChoiceRequest &request, base::TimePoint now, base::SplitMix64 &random);

private:
    SelectionKind m_kind;
    upstream::RoundRobin m_roundRobin;
};

} // namespace trefoilstile::bench
