// Decides which waiting request of one service starts next at one instance, so that urgent work goes first and a flood
// of one class leaves every other class its minimum share of the slots.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trefoilstile/admission/class_queue.hpp"
#include "trefoilstile/admission/demand_meter.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::admission
{

/// Result of offering a request to the scheduler.
enum class Admission : std::uint8_t {
    Accepted,
    QueueFull,
    DeadlineTooShort, ///< the estimated wait is longer than the time left
};

/// Behaviour of a scheduler. Numbers not taken from the document: see docs/measurements/policy.md.
struct SchedulerOptions {
    base::PerClass<document::ClassPolicy> classes;
    base::PerClass<bool> used{{true, true, true}}; ///< some route gives the class; nothing is reserved for others
    std::uint32_t queueLength = 200; ///< waiting requests of each class
    QueueOrder order = QueueOrder::Fifo;
    /// A request is rejected early if its estimated wait is above this part of its time left. More for bulk work, whose
    /// callers wait for minutes anyway and which has few slots that each take seconds.
    base::PerClass<double> maximumWaitFraction{{0.5, 0.5, 0.8}};
    /// The same while the class is overloaded and its queue has not been empty for `standingInterval`. A queue that stands
    /// adds to the latency of every request and serves no more of them.
    double standingWaitFraction = 0.1;
    base::Duration standingInterval = std::chrono::seconds(1);
    /// Time within which a class gets the slots for its present demand back from finishing work. What finishing work
    /// gives back in this time is lent out, the rest is kept free. Less urgent classes can wait longer, so less is kept
    /// free for them when work is short, and all of it when work is long.
    base::PerClass<base::Duration> reclaimTime{{std::chrono::milliseconds(25), std::chrono::milliseconds(100), std::chrono::milliseconds(500)}};
    /// Time within which a class gets back its whole share, however small its demand was before.
    base::Duration shareReclaimTime = std::chrono::seconds(1);
    /// Slots kept for a class beyond its mean demand, in units of the square root of that demand (the spread of the
    /// number in use when arrivals are independent).
    double burstMargin = 1.0;
    /// One urgent request may start above the slots if all of them are taken by long work and no urgent one runs. With one or two
    /// slots no reserve is possible without stopping the other classes.
    bool urgentBeyondSlots = true;
    /// Urgent work goes before the weights while its demand fits beside the other classes' shares.
    bool urgentFirstWithinCapacity = true;
    base::Duration priorServiceTime = std::chrono::milliseconds(50); ///< taken until a class has been observed
};

/// Options for a service of a document.
SchedulerOptions schedulerOptions(const document::SteeringDocument &document, const document::Service &service);

/// A request that may start now.
struct StartedRequest {
    QueuedRequest request;
    bool beyondSlots = false; ///< started above the slots given; the upstream choice has to go beyond its limit too
};

/// Queues and shares of one service at one instance. Slots are counted by class from `next` to `finished`.
class ClassScheduler
{
public:
    explicit ClassScheduler(const SchedulerOptions &options);

    /// Takes other options, keeping queues, running work and estimates.
    void configure(const SchedulerOptions &options);

    /// Offers a request. `slots` is the concurrency of the service's upstreams now, running work included.
    Admission enqueue(const QueuedRequest &request, base::TimePoint now, std::size_t slots);

    /// Puts a request that was started or tried before in front of its class; not bounded by the queue's length.
    void requeue(const QueuedRequest &request);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<QueuedRequest> expire(base::TimePoint now);

    /// Removes a waiting request, for example when its caller has gone.
    std::optional<QueuedRequest> remove(base::RequestId id);

    /// Next request to start, if one may start; it counts as running until `finished` or `cancelled`.
    std::optional<StartedRequest> next(base::TimePoint now, std::size_t slots)
    {
        return next(now, slots, [](const QueuedRequest &) {
            return true;
        });
    }

    /// As above, but only a request for which `canStart` holds, so that one that no free upstream may serve does not
    /// block its class. Looks at the first `s_scanLimit` requests of each class.
    template<typename Predicate>
    std::optional<StartedRequest> next(base::TimePoint now, std::size_t slots, Predicate &&canStart);

    /// An attempt of the class has ended. `held` is the time since it was started, `firstByte` the time to the first
    /// byte of the response or to the end without one.
    void finished(base::PriorityClass priorityClass, base::Duration held, base::Duration firstByte);

    /// A request from `next` was not sent, or its attempt failed. The slot is free and the estimates do not change, since a
    /// failure says nothing about how long the work takes.
    void cancelled(base::PriorityClass priorityClass);

    /// Estimated time until a request that is offered now would start.
    base::Duration estimatedWait(base::PriorityClass priorityClass, base::TimePoint deadline, base::TimePoint now, std::size_t slots) const;

    /// Demand of the class as a multiple of what it can have now; above 1 it is overloaded. Grows the `Retry-After`.
    double overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;

    /// Earliest deadline of a waiting request, at which `expire` has something to do.
    std::optional<base::TimePoint> nextDeadline() const;

    std::size_t queued(base::PriorityClass priorityClass) const
    {
        return m_queues[priorityClass].size();
    }

    std::size_t running(base::PriorityClass priorityClass) const
    {
        return m_running[priorityClass];
    }

    std::size_t running() const;

    const SchedulerOptions &options() const
    {
        return m_options;
    }

    /// Slots kept free for a class when `candidate` asks for one beyond its share. Public for tests and metrics.
    double reserve(base::PriorityClass priorityClass, base::PriorityClass candidate, base::TimePoint now, std::size_t slots) const;

private:
    // Enough to step over requests with unusual upstream restrictions, and still a bounded cost for each decision.
    static constexpr std::size_t s_scanLimit = 16;

    struct Turn {
        base::PriorityClass priorityClass;
        bool borrowed;
        bool beyondSlots;
    };

    using Turns = std::array<std::optional<Turn>, 2 * base::s_priorityClassCount + 1>;

    double guarantee(base::PriorityClass priorityClass, std::size_t slots) const;
    double releaseRate() const;
    double heldWhenWaiting(base::PriorityClass priorityClass, std::size_t slots) const;
    bool entitled(base::PriorityClass priorityClass, std::size_t slots) const;
    bool mayBorrow(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;
    double demand(base::PriorityClass priorityClass, base::TimePoint now) const;
    bool urgentFits(base::TimePoint now, std::size_t slots) const;
    bool standing(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;
    bool othersWait(base::PriorityClass priorityClass) const;
    Turns turns(base::TimePoint now, std::size_t slots) const;
    void advance(base::TimePoint now, std::size_t slots);
    StartedRequest start(const Turn &turn, base::RequestId id, base::TimePoint now);

    SchedulerOptions m_options;
    base::PerClass<ClassQueue> m_queues;
    // A queued request is in exactly one queue, or in m_expired until `expire` returns it, and never running.
    std::vector<QueuedRequest> m_expired;
    // Slots held by class; the sum is above the slots given only if those have shrunk or by one urgent request.
    base::PerClass<std::size_t> m_running;
    // Slot-seconds that a class is owed (positive) or has had in advance (negative) from the fractional part of its
    // share while others waited. A class without waiting requests saves up no more than two requests of mean length.
    base::PerClass<double> m_credit;
    // Weighted slot-seconds taken beyond the shares (start-time fair queueing); the least one borrows next.
    base::PerClass<double> m_borrowed;
    double m_borrowClock{};
    base::PerClass<ServiceTimes> m_times;
    base::PerClass<DemandMeter> m_demand;
    base::PerClass<double> m_meanRunning; // moving average of m_running over about a second
    base::PerClass<base::TimePoint> m_emptyAt; // last time at which the queue was seen empty
    std::optional<base::TimePoint> m_advancedAt;
};

template<typename Predicate>
std::optional<StartedRequest> ClassScheduler::next(base::TimePoint now, std::size_t slots, Predicate &&canStart)
{
    advance(now, slots);
    for (const std::optional<Turn> &turn : turns(now, slots)) {
        if (!turn) {
            break;
        }
        const QueuedRequest *found = m_queues[turn->priorityClass].find(m_options.order, now, s_scanLimit, canStart);
        if (found != nullptr) {
            return start(*turn, found->id, now);
        }
    }
    return std::nullopt;
}

} // namespace trefoilstile::admission
