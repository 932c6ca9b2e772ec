// Chooses which waiting request of a service starts next at one instance: urgent requests go first, and a flood of one
// class leaves every other class its minimum share of the slots.
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

/// Options of a scheduler. Measurements of the defaults: docs/measurements/policy.md.
struct SchedulerOptions {
    base::PerClass<document::ClassPolicy> classes;
    base::PerClass<bool> used{{true, true, true}}; ///< some route assigns the class; no slots are reserved for unused classes
    std::uint32_t queueLength = 200; ///< maximum number of waiting requests per class
    QueueOrder order = QueueOrder::Fifo;
    /// A request is rejected early if its estimated wait exceeds this fraction of the time left until its deadline. Higher
    /// for bulk requests: their callers wait for minutes anyway, and they have few slots, each held for seconds.
    base::PerClass<double> maximumWaitFraction{{0.5, 0.5, 0.8}};
    /// The same limit while the class is overloaded and its queue has not been empty for `standingInterval`. A standing
    /// queue adds latency to every request without increasing throughput.
    double standingWaitFraction = 0.1;
    base::Duration standingInterval = std::chrono::seconds(1);
    /// Time within which a class gets back the slots for its current demand as requests of other classes finish. Slots
    /// that are expected to become free within this time are lent to other classes; the rest is kept free. Less urgent
    /// classes can wait longer: fewer slots are kept free for them if requests are short, and all that they lack if requests are long.
    base::PerClass<base::Duration> reclaimTime{{std::chrono::milliseconds(25), std::chrono::milliseconds(100), std::chrono::milliseconds(500)}};
    /// Time within which a class gets back its whole share, however small its demand was before.
    base::Duration shareReclaimTime = std::chrono::seconds(1);
    /// Slots kept for a class beyond its mean demand, in units of the square root of that demand (the standard deviation of
    /// the number of slots in use when arrivals are independent).
    double burstMargin = 1.0;
    /// One urgent request may start above the number of slots if long requests hold all slots and no urgent request runs.
    /// With one or two slots, no slot can be reserved without stopping the other classes.
    bool urgentBeyondSlots = true;
    /// Urgent requests take precedence over the weights while their demand fits beside the other classes' shares.
    bool urgentFirstWithinCapacity = true;
    base::Duration priorServiceTime = std::chrono::milliseconds(50); ///< assumed until an attempt of the class has ended
};

/// Options for a service of a document.
SchedulerOptions schedulerOptions(const document::SteeringDocument &document, const document::Service &service);

/// A request taken from the queue by `ClassScheduler::next`.
struct StartedRequest {
    QueuedRequest request;
    bool beyondSlots = false; ///< started above the number of slots; the choice of an upstream must exceed its limit too
};

/// Queues the requests of one service at one instance and divides its slots among the classes. A request takes a slot of
/// its class from `next` to `finished` or `cancelled`.
class ClassScheduler
{
public:
    explicit ClassScheduler(const SchedulerOptions &options);

    /// Replaces the options. Queues, running requests and estimates are kept.
    void configure(const SchedulerOptions &options);

    /// Queues or rejects a request. `slots` is the current concurrency of the service's upstreams, running requests included.
    Admission enqueue(const QueuedRequest &request, base::TimePoint now, std::size_t slots);

    /// Puts a request that was started before at the front of its class. The limit of the queue length does not apply.
    void requeue(const QueuedRequest &request);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<QueuedRequest> expire(base::TimePoint now);

    /// Removes a waiting request, for example when its caller has disconnected.
    std::optional<QueuedRequest> remove(base::RequestId id);

    /// Next request to start, or nothing if none may start now. It counts as running until `finished` or `cancelled`.
    std::optional<StartedRequest> next(base::TimePoint now, std::size_t slots)
    {
        return next(now, slots, [](const QueuedRequest &) {
            return true;
        });
    }

    /// As above, but only a request for which `canStart` holds, so that a request that no free upstream may serve does not
    /// block its class. Examines the first `s_scanLimit` requests of each class.
    template<typename Predicate>
    std::optional<StartedRequest> next(base::TimePoint now, std::size_t slots, Predicate &&canStart);

    /// Releases the slot of an attempt that has ended. `holdingTime` is the time since its start, `timeToFirstByte` the
    /// time to the first byte of the response, or to the end without one.
    void finished(base::PriorityClass priorityClass, base::Duration holdingTime, base::Duration timeToFirstByte);

    /// Releases the slot of a request from `next` that was not sent or whose attempt failed. The estimates do not change,
    /// since a failure does not show how long a request takes.
    void cancelled(base::PriorityClass priorityClass);

    /// Estimated time until a request that arrives at `now` would start.
    base::Duration estimatedWait(base::PriorityClass priorityClass, base::TimePoint deadline, base::TimePoint now, std::size_t slots) const;

    /// Demand of the class as a multiple of the slots that it can get now; above 1 it is overloaded. Increases `Retry-After`.
    double overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;

    /// Earliest deadline of a waiting request, the time at which `expire` is due.
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

    /// Slots kept free for a class when the class `candidate` needs a slot beyond its share. Public for tests and metrics.
    double reserve(base::PriorityClass priorityClass, base::PriorityClass candidate, base::TimePoint now, std::size_t slots) const;

private:
    // Enough to skip requests with unusual upstream restrictions, while the cost of each decision stays bounded.
    static constexpr std::size_t s_scanLimit = 16;

    /// A class that may take a slot now.
    struct StartCandidate {
        base::PriorityClass priorityClass;
        bool borrowed;
        bool beyondSlots;
    };

    using StartCandidates = std::array<std::optional<StartCandidate>, 2 * base::s_priorityClassCount + 1>;

    double guaranteedSlots(base::PriorityClass priorityClass, std::size_t slots) const;
    double releaseRate() const;
    double expectedSlots(base::PriorityClass priorityClass, std::size_t slots) const;
    bool entitled(base::PriorityClass priorityClass, std::size_t slots) const;
    bool mayBorrow(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;
    double demand(base::PriorityClass priorityClass, base::TimePoint now) const;
    bool urgentDemandFits(base::TimePoint now, std::size_t slots) const;
    bool hasStandingQueue(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const;
    bool otherClassesWait(base::PriorityClass priorityClass) const;
    StartCandidates startCandidates(base::TimePoint now, std::size_t slots) const;
    void advance(base::TimePoint now, std::size_t slots);
    StartedRequest start(const StartCandidate &candidate, base::RequestId id, base::TimePoint now);

    SchedulerOptions m_options;
    base::PerClass<ClassQueue> m_queues;
    // A waiting request is in exactly one queue, or in m_expired until `expire` returns it, and never counts as running.
    std::vector<QueuedRequest> m_expired;
    // Slots held per class. The sum exceeds the number of slots only if that number has decreased, or by one urgent request.
    base::PerClass<std::size_t> m_running;
    // Slot-seconds that a class is owed (positive) or has used in advance (negative) from the fractional part of its
    // share while others waited. A class without waiting requests keeps credit for at most two requests of mean length.
    base::PerClass<double> m_credit;
    // Weighted slot-seconds taken beyond the shares (start-time fair queueing); the class with the lowest value borrows next.
    base::PerClass<double> m_borrowed;
    double m_borrowVirtualTime{}; // start tag of the last borrowed slot
    base::PerClass<ServiceTimes> m_serviceTimes;
    base::PerClass<DemandMeter> m_demand;
    base::PerClass<double> m_meanRunning; // moving average of m_running over about a second
    base::PerClass<base::TimePoint> m_emptyAt; // last time at which the queue was found empty
    std::optional<base::TimePoint> m_advancedAt;
};

template<typename Predicate>
std::optional<StartedRequest> ClassScheduler::next(base::TimePoint now, std::size_t slots, Predicate &&canStart)
{
    advance(now, slots);
    for (const std::optional<StartCandidate> &candidate : startCandidates(now, slots)) {
        if (!candidate) {
            break;
        }
        const QueuedRequest *found = m_queues[candidate->priorityClass].find(m_options.order, now, s_scanLimit, canStart);
        if (found != nullptr) {
            return start(*candidate, found->id, now);
        }
    }
    return std::nullopt;
}

} // namespace trefoilstile::admission
